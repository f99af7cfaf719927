/** Schema of a service file and of the bundle that is in force. */
import { z } from 'zod'

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

/** Schema of one service file. Fields that are not named here are refused. */
export const serviceSchema = z.strictObject({
  name,
  match: z.strictObject({
    /** Value of the Host header, without port; absent matches every host. */
    host: z.string().min(1).max(253).optional(),
    path: pathPrefix
  }),
  /** How a request names its key; absent for a service that is not divided by key. */
  key: key.optional(),
  requests: z.strictObject({
    /** Methods whose requests may be repeated. */
    idempotent: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'])).default(['GET', 'HEAD', 'OPTIONS']),
    /** Longest time a request may take, in milliseconds. */
    deadline_ms: z.number().int().min(10).max(600_000).default(5000),
    /** Whether a request that may not be repeated must bear an Idempotency-Key. */
    idempotency_key: z.enum(['required', 'optional', 'ignored']).default('optional')
  }).default({ idempotent: ['GET', 'HEAD', 'OPTIONS'], deadline_ms: 5000, idempotency_key: 'optional' }),
  servers: z.strictObject({
    /** Requests that a server works on at once. */
    slots: z.number().int().min(1).max(10_000),
    /** Connections that a server accepts from the whole system. */
    connections: z.number().int().min(1).max(100_000),
    /** Whether the servers refuse orders without a valid grant. */
    checks_grants: z.boolean()
  })
})

/** One service as its file describes it. */
export type ServiceConfiguration = z.infer<typeof serviceSchema>

const bundledService = z.strictObject({
  /** Bundle version in which this service last changed. */
  changed_in: z.number().int().min(1),
  service: serviceSchema
})

/** Schema of a bundle: every service that is in force at one version. */
export const bundleSchema = z.strictObject({
  version: z.number().int().min(0),
  services: z.array(bundledService)
})

/** Every service in force at one version. */
export type Bundle = z.infer<typeof bundleSchema>

/** Schema of the table row that names the bundle in force. */
export const pointerSchema = z.object({
  version: z.number().int().min(1),
  digest: z.string(),
  /** Identifiers of the last publishing attempts that took effect, newest last. */
  attempts: z.array(z.string())
})

/** The table row that names the bundle in force. */
export type Pointer = z.infer<typeof pointerSchema>

/** Bundle of a system for which nothing has been published. */
export const EMPTY_BUNDLE: Bundle = { version: 0, services: [] }
