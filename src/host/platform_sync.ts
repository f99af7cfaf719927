/**
 * Synchronises a host's copy of the shared rows, the configuration and the
 * platform's list. The leader of a cell reads the platform for its cell; the
 * other hosts fetch the rows from the leader.
 */
import { decodeBundle, pointerSchema, POINTER_KEY, type ConfigurationCache, type Pointer } from '../configuration/mod.ts'
import type { PlatformClient } from '../platform_client/mod.ts'
import type { Result, TableChanges, TableError, TableRow } from '../ports/mod.ts'
import type { HostListTracker } from './cell_input.ts'
import type { ControlClient } from './control_router.ts'
import { SHARED_PREFIX, type SharedRows } from './shared_rows.ts'

/** Options of {@link createPlatformSync}. */
export interface PlatformSyncOptions {
  readonly platform: PlatformClient
  readonly rows: SharedRows
  readonly configuration: ConfigurationCache
  readonly tracker: HostListTracker
  readonly peer: (host: string) => ControlClient
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  readonly onCall: (call: string, succeeded: boolean) => void
  readonly onConfiguration: (version: number, digest: string) => void
}

/** Synchronisation of one host. */
export interface PlatformSync {
  /** Reads changed rows from the platform, and the host list when it is due. */
  poll (): Promise<void>
  /** Fetches changed rows from a peer. */
  pullFrom (host: string): Promise<void>
  isPlatformReachable (): boolean
  /** Whether the rows point to a newer configuration than the one in force. */
  hasNewerConfiguration (): boolean
  /** Text of a bundle, or `null` if this host has not cached it. */
  bundleText (digest: string): string | null
}

/** Interval between two reads of the host list, in milliseconds. */
const LIST_INTERVAL_MS = 2000

/**
 * Creates the synchronisation of one host.
 *
 * @param options Ports and caches.
 * @returns The synchronisation; its methods never throw.
 */
export function createPlatformSync (options: PlatformSyncOptions): PlatformSync {
  const { rows, configuration, now } = options
  let reachable = true
  let polling = false
  let pulling = false
  let nextListAt = 0
  let cachedBundle: { readonly digest: string, readonly text: string } | null = null
  let rowsPeer: string | null = null

  function recordCall (call: string, succeeded: boolean): void {
    reachable = succeeded
    options.onCall(call, succeeded)
  }

  async function applyRows (changed: readonly TableRow[]): Promise<void> {
    rows.merge(changed)
    await applyPointer()
  }

  /** Returns the pointer to a configuration that is newer than the one in force, or `null`. */
  function newerPointer (): Pointer | null {
    const pointer = pointerSchema.safeParse(rows.get(POINTER_KEY)?.value)
    return pointer.success && pointer.data.version > configuration.bundle().version ? pointer.data : null
  }

  async function applyPointer (): Promise<void> {
    const digest = newerPointer()?.digest
    if (digest === undefined) return
    const text = await bundleFromPeer(digest) ?? await bundleFromStore(digest)
    const bundle = text === null ? null : decodeBundle(text, digest)
    if (text === null || bundle === null || !configuration.apply(bundle)) return
    cachedBundle = { digest, text }
    options.onConfiguration(bundle.version, digest)
  }

  async function bundleFromPeer (digest: string): Promise<string | null> {
    if (rowsPeer === null) return null
    try {
      return await options.peer(rowsPeer).bundle.query({ digest })
    } catch {
      return null
    }
  }

  async function bundleFromStore (digest: string): Promise<string | null> {
    const read = await options.platform.objects.get(digest)
    options.onCall('object-get', read.ok)
    return read.ok ? read.value : null
  }

  async function readList (): Promise<void> {
    if (now() < nextListAt) return
    nextListAt = now() + LIST_INTERVAL_MS
    const listing = await options.platform.hosts.list()
    options.onCall('host-list', listing.ok)
    if (listing.ok) options.tracker.update(listing.value, now())
  }

  /** Reads the rows that have changed; all of them if the table service has been restored since the last read. */
  async function readChanges (): Promise<Result<TableChanges, TableError>> {
    const known = rows.position()
    const changes = await options.platform.table.changes(SHARED_PREFIX, known.revision)
    return changes.ok && changes.value.era !== known.era && known.revision > 0 ? await options.platform.table.changes(SHARED_PREFIX, 0) : changes
  }

  return {
    async poll () {
      if (polling) return
      polling = true
      try {
        const changes = await readChanges()
        recordCall('table-changes', changes.ok)
        rowsPeer = null
        if (changes.ok) await applyRows(changes.value.rows)
        await readList()
      } finally {
        polling = false
      }
    },
    async pullFrom (host) {
      if (pulling) return
      pulling = true
      try {
        rowsPeer = host
        await applyRows(await options.peer(host).rows.query({ era: rows.position().era, since: rows.revision() }) as TableRow[])
      } catch {
        options.onCall('peer-rows', false)
      } finally {
        pulling = false
      }
    },
    isPlatformReachable: () => reachable,
    hasNewerConfiguration: () => newerPointer() !== null,
    bundleText: (digest) => cachedBundle?.digest === digest ? cachedBundle.text : null
  }
}
