/**
 * Sends attempts, and gives up a server that does not respond in time.
 *
 * Silence does not show that a server is not at work. Giving it up is of use
 * only if the request goes on elsewhere, so an attempt runs on until another
 * one is paid for and another server has room for it. One whose response has
 * begun is not given up.
 */
import { RequestKind } from '../routing/mod.ts'
import type { Exchange } from './_exchange.ts'
import type { ExchangeTimes } from './_exchange_times.ts'
import type { ServerSelector } from './_server_selector.ts'
import type { GatewayOptions } from './gateway_options.ts'
import { sendAttempt, type Attempt, type AttemptOutcome, type SendAttemptOptions } from './send_attempt.ts'

/** An attempt, and the time after which its server is overdue, in milliseconds. */
export interface TimedAttempt {
  readonly attempt: Attempt
  readonly connections: SendAttemptOptions
  readonly timeoutMs: number
}

/** Sender of one gateway. */
export interface AttemptSender {
  /** Whether the request may be sent to another server when one does not respond in time. A host that stops lets its requests end where they run. */
  isRepeatable (exchange: Exchange): boolean
  /** Sends an attempt; one that is given up is lost, and the next repeat of the request is paid for. */
  send (exchange: Exchange, attempt: TimedAttempt): Promise<AttemptOutcome>
}

/** Parts of the gateway that the sender uses. */
export interface AttemptSenderOptions {
  readonly times: ExchangeTimes
  readonly serverSelector: ServerSelector
  readonly isKeyed: (exchange: Exchange) => boolean
}

/** Interval at which an overdue attempt is checked again, in milliseconds: the time in which hosts learn of a free slot. */
const CHECK_INTERVAL_MS = 100

/**
 * Creates the sender.
 *
 * @param options Options of the gateway.
 * @param senderOptions Times of its requests, and the selector of their servers.
 * @returns The sender.
 */
export function createAttemptSender (options: GatewayOptions, { times, serverSelector, isKeyed }: AttemptSenderOptions): AttemptSender {
  function isRepeatable (exchange: Exchange): boolean {
    return exchange.route.kind === RequestKind.idempotent && !isKeyed(exchange) && !options.isLeaving()
  }

  /** Reserves another attempt, if the request certainly goes on elsewhere. */
  function reserveNext (exchange: Exchange, { server }: Attempt): boolean {
    const isReplayable = exchange.body === null || Buffer.isBuffer(exchange.body)
    if (!isRepeatable(exchange) || !isReplayable || options.guard.isSuspect(exchange.fingerprint) || options.guard.refusalMs(exchange.fingerprint) !== null) return false
    return serverSelector.hasAlternative(exchange, server) && exchange.ledger.reserveRepeat({ remainingMs: times.remainingMs(exchange), limitsUnsent: true })
  }

  return {
    isRepeatable,
    async send (exchange, { attempt, connections, timeoutMs }) {
      if (!isRepeatable(exchange)) return await sendAttempt(attempt, connections)
      const giveUp = new AbortController()
      let timer = setTimeout(check, timeoutMs)
      let isSilent = true
      function check (): void {
        clearTimeout(timer)
        if (!isSilent) return
        if (reserveNext(exchange, attempt)) giveUp.abort()
        else timer = setTimeout(check, CHECK_INTERVAL_MS)
      }
      function endChecks (): void {
        isSilent = false
        clearTimeout(timer)
      }
      try {
        return await sendAttempt({ ...attempt, signal: AbortSignal.any([giveUp.signal, exchange.abort.signal]) }, { ...connections, onOverdue: check, onResponse: endChecks })
      } finally {
        endChecks()
      }
    }
  }
}
