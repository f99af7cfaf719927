/**
 * Keeps a host's copy of the shared rows, the configuration and the platform's
 * list. The leader of a cell reads the platform for its cell; the other hosts
 * take the rows from the leader.
 */
import { decodeBundle, pointerSchema, POINTER_KEY, type ConfigurationCache, type Pointer } from '../configuration/mod.ts'
import type { PlatformClient } from '../platform_client/mod.ts'
import type { TableRow } from '../ports/mod.ts'
import type { HostListTracker } from './cell_input.ts'
import type { ControlClient } from './control_router.ts'
import { SHARED_PREFIX, type SharedRows } from './shared_rows.ts'

/** What the synchronization works with. */
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

/** Synchronization of one host. */
export interface PlatformSync {
  /** Reads changed rows from the platform, and the host list where it is due. */
  poll (): Promise<void>
  /** Takes changed rows from a peer. */
  pullFrom (host: string): Promise<void>
  isPlatformReachable (): boolean
  /** Whether the rows name a newer configuration than the one in force. */
  hasNewerConfiguration (): boolean
  /** Text of a bundle that this host holds. */
  bundleText (digest: string): string | null
}

/** Interval between two readings of the host list, in milliseconds. */
const LIST_INTERVAL_MS = 2000

/**
 * Creates the synchronization of one host.
 *
 * @param options Ports and holders.
 * @returns The synchronization; no call throws.
 */
export function createPlatformSync (options: PlatformSyncOptions): PlatformSync {
  const { rows, configuration, now } = options
  let reachable = true
  let polling = false
  let pulling = false
  let nextListAt = 0
  let held: { readonly digest: string, readonly text: string } | null = null
  let source: string | null = null

  function noteCall (call: string, succeeded: boolean): void {
    reachable = succeeded
    options.onCall(call, succeeded)
  }

  async function takeRows (changed: readonly TableRow[]): Promise<void> {
    rows.merge(changed)
    await adoptPointer()
  }

  /** The pointer to a configuration that is newer than the one in force. */
  function newerPointer (): Pointer | null {
    const pointer = pointerSchema.safeParse(rows.get(POINTER_KEY)?.value)
    return pointer.success && pointer.data.version > configuration.bundle().version ? pointer.data : null
  }

  async function adoptPointer (): Promise<void> {
    const digest = newerPointer()?.digest
    if (digest === undefined) return
    const text = await bundleFromPeer(digest) ?? await bundleFromStore(digest)
    const bundle = text === null ? null : decodeBundle(text, digest)
    if (text === null || bundle === null || !configuration.apply(bundle)) return
    held = { digest, text }
    options.onConfiguration(bundle.version, digest)
  }

  async function bundleFromPeer (digest: string): Promise<string | null> {
    if (source === null) return null
    try {
      return await options.peer(source).bundle.query({ digest })
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

  return {
    async poll () {
      if (polling) return
      polling = true
      try {
        const changes = await options.platform.table.changes(SHARED_PREFIX, rows.revision())
        noteCall('table-changes', changes.ok)
        source = null
        if (changes.ok) await takeRows(changes.value.rows)
        await readList()
      } finally {
        polling = false
      }
    },
    async pullFrom (host) {
      if (pulling) return
      pulling = true
      try {
        source = host
        await takeRows(await options.peer(host).rows.query({ since: rows.revision() }) as TableRow[])
      } catch {
        options.onCall('peer-rows', false)
      } finally {
        pulling = false
      }
    },
    isPlatformReachable: () => reachable,
    hasNewerConfiguration: () => newerPointer() !== null,
    bundleText: (digest) => held?.digest === digest ? held.text : null
  }
}
