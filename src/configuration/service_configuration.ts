/** Schemas of service files, bundles and the pointer to the bundle in force. */
import { z } from 'zod'
import { FIRST_ERA } from '../store_history/mod.ts'

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'Expected lower-case letters, digits and hyphens, at most 63')
const pathPrefix = z.string().regex(/^\/[^\s]*$/, 'Expected a path that starts with "/"').max(512)

const key = z.discriminatedUnion('from', [
  z.strictObject({
    from: z.literal('path'),
    /** Number of the path segment that is the key; 1 is the first after the service's path. */
    segment: z.number().int().min(1).max(16).default(1),
    slices: z.number().int().min(1).max(65_536).default(256)
  }),
  z.strictObject({
    from: z.literal('header'),
    name: z.string().min(1).max(128),
    slices: z.number().int().min(1).max(65_536).default(256)
  }),
  z.strictObject({
    from: z.literal('query'),
    name: z.string().min(1).max(128),
    slices: z.number().int().min(1).max(65_536).default(256)
  })
])

/** Schema of one service file; unknown fields are rejected. */
export const serviceSchema = z.strictObject({
  name,
  match: z.strictObject({
    /** Value of the Host header without its port; if absent, every host matches. */
    host: z.string().min(1).max(253).optional(),
    path: pathPrefix
  }),
  /** Location of the key in a request; absent for a service without keys. */
  key: key.optional(),
  requests: z.strictObject({
    /** Methods whose requests can be retried safely. */
    idempotent: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'])).default(['GET', 'HEAD', 'OPTIONS']),
    /** Maximum duration of a request, in milliseconds. */
    deadline_ms: z.number().int().min(10).max(600_000).default(5000),
    /** Use of the Idempotency-Key header in requests that are not idempotent. */
    idempotency_key: z.enum(['required', 'optional', 'ignored']).default('optional')
  }).default({ idempotent: ['GET', 'HEAD', 'OPTIONS'], deadline_ms: 5000, idempotency_key: 'optional' }),
  servers: z.strictObject({
    /** Maximum number of requests that a server processes concurrently. */
    slots: z.number().int().min(1).max(10_000),
    /** Maximum number of connections that a server accepts from all hosts together. */
    connections: z.number().int().min(1).max(100_000),
    /** True if the servers reject requests without a valid grant. */
    checks_grants: z.boolean()
  })
})

/** Configuration of one service. */
export type ServiceConfiguration = z.infer<typeof serviceSchema>

const bundledService = z.strictObject({
  /** Bundle version in which this service last changed. */
  changed_in: z.number().int().min(1),
  service: serviceSchema
})

/** Schema of a bundle: all services in force at one version. */
export const bundleSchema = z.strictObject({
  version: z.number().int().min(0),
  services: z.array(bundledService)
})

/** All services in force at one version. */
export type Bundle = z.infer<typeof bundleSchema>

/** Schema of the table row that points to the bundle in force. */
export const pointerSchema = z.object({
  version: z.number().int().min(1),
  /** Era of the table service in which the pointer was written. */
  era: z.number().int().default(FIRST_ERA),
  digest: z.string(),
  /** Identifiers of the most recent publications that took effect, newest last. */
  attempts: z.array(z.string())
})

/** The table row that points to the bundle in force. */
export type Pointer = z.infer<typeof pointerSchema>

/** Bundle in force before the first publication. */
export const EMPTY_BUNDLE: Bundle = { version: 0, services: [] }
