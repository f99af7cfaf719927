/**
 * Exchanges evidence on fatal requests between hosts, since each host sees
 * only a part of the servers that end.
 *
 * A host sends what it has found out to the leader at once, which passes on
 * what it did not know. When a host connects to a leader, each sends the other
 * everything it knows, so evidence outlasts the leader and reaches hosts that
 * join. Hosts of a build that does not know the message are left out.
 */
import { NO_EVIDENCE, type Evidence, type RequestGuard } from '../fatal_requests/mod.ts'
import type { EvidenceMessage, WireEvidence } from '../replication/mod.ts'
import { decodeEvidence, encodeEvidence } from './encode_evidence.ts'

/** Options of {@link createEvidenceExchange}. */
export interface EvidenceExchangeOptions {
  readonly guard: () => Pick<RequestGuard, 'merge' | 'evidence'>
  readonly isLeading: () => boolean
  /** Sends a message to all connected hosts. */
  readonly publish: (message: EvidenceMessage) => void
  /** Sends a message to the leader. */
  readonly send: (message: EvidenceMessage) => void
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Exchange of one host. */
export interface EvidenceExchange {
  /** Passes on what this host has found out. */
  add (evidence: Evidence): void
  /** Merges a message of another host; the leader passes on what is new. */
  receive (wire: WireEvidence): void
  /** Sends everything that is known to the leader, after this host has connected to it. */
  sendAll (): void
  /** Sends everything that is known to all connected hosts, after this host has become leader. */
  publishAll (): void
  /** Everything that is known, for a host that has just connected; empty if there is nothing. */
  initialUpdates (): EvidenceMessage[]
}

/** Time for which evidence is collected before it is sent, in milliseconds: ends of several servers, and many requests of one, become known at the same moment. */
const COLLECTION_MS = 5

/**
 * Creates the exchange of one host.
 *
 * @param options Guard, connections and clock.
 * @returns The exchange.
 */
export function createEvidenceExchange (options: EvidenceExchangeOptions): EvidenceExchange {
  let collected: Evidence = NO_EVIDENCE
  let timer: NodeJS.Timeout | undefined

  function isEmpty ({ ends, completions, refusals }: Evidence): boolean {
    return ends.length + completions.length + refusals.length === 0
  }

  function encode (evidence: Evidence): EvidenceMessage {
    return { kind: 'fatal-requests', ...encodeEvidence(evidence, options.now()) }
  }

  function flush (): void {
    timer = undefined
    const message = encode(collected)
    collected = NO_EVIDENCE
    // Without a leader the evidence is sent with the next connection to one.
    if (options.isLeading()) options.publish(message)
    else options.send(message)
  }

  function add (evidence: Evidence): void {
    if (isEmpty(evidence)) return
    collected = { ends: [...collected.ends, ...evidence.ends], completions: [...collected.completions, ...evidence.completions], refusals: [...collected.refusals, ...evidence.refusals] }
    timer ??= setTimeout(flush, COLLECTION_MS)
  }

  function all (): EvidenceMessage[] {
    const evidence = options.guard().evidence()
    return isEmpty(evidence) ? [] : [encode(evidence)]
  }

  return {
    add,
    receive (wire) {
      const added = options.guard().merge(decodeEvidence(wire, options.now()))
      if (options.isLeading()) add(added)
    },
    sendAll () { for (const message of all()) options.send(message) },
    publishAll () { for (const message of all()) options.publish(message) },
    initialUpdates: all
  }
}
