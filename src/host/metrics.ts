/** Metrics of an entry host, with prom-client. */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Buckets of durations, in seconds. */
const DURATION_BUCKETS_SECONDS = [0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1, 2, 5, 10]

/** Sampling interval of the event loop's delay, in milliseconds; each sample wakes the process. */
const EVENT_LOOP_PRECISION_MS = 100

/** Metrics of one host. */
export interface HostMetrics {
  readonly registry: Registry
  readonly requests: Counter<'outcome' | 'reason'>
  readonly requestDuration: Histogram
  readonly queueWait: Histogram<'service'>
  readonly serverDuration: Histogram<'service'>
  readonly retries: Counter<'service' | 'reason'>
  readonly crashes: Counter
  readonly datagramBytes: Gauge<'direction'>
  readonly platformCalls: Counter<'call' | 'outcome'>
  readonly configurationVersion: Gauge
  readonly queued: Gauge
  readonly inFlight: Gauge
  readonly isLeader: Gauge
}

/**
 * Creates the metrics of one host in a separate registry.
 *
 * @returns The metrics.
 */
export function createHostMetrics (): HostMetrics {
  const registry = new Registry()
  collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS })
  const registers = [registry]
  const buckets = DURATION_BUCKETS_SECONDS
  return {
    registry,
    requests: new Counter({ name: 'gooseberryfold_requests_total', help: "Callers' requests by outcome", labelNames: ['outcome', 'reason'], registers }),
    requestDuration: new Histogram({ name: 'gooseberryfold_request_duration_seconds', help: 'Time from request to first byte of the answer', buckets, registers }),
    queueWait: new Histogram({ name: 'gooseberryfold_queue_wait_seconds', help: 'Time that requests waited for a slot', labelNames: ['service'], buckets, registers }),
    serverDuration: new Histogram({ name: 'gooseberryfold_server_duration_seconds', help: 'Time that requests spent at a backend server', labelNames: ['service'], buckets, registers }),
    retries: new Counter({ name: 'gooseberryfold_retries_total', help: 'Requests that were offered again', labelNames: ['service', 'reason'], registers }),
    crashes: new Counter({ name: 'gooseberryfold_server_crashes_total', help: 'Crashes of backend servers with requests in flight', registers }),
    datagramBytes: new Gauge({ name: 'gooseberryfold_datagram_bytes_total', help: 'Bytes of datagrams with their IP and UDP headers', labelNames: ['direction'], registers }),
    platformCalls: new Counter({ name: 'gooseberryfold_platform_calls_total', help: 'Calls to the platform', labelNames: ['call', 'outcome'], registers }),
    configurationVersion: new Gauge({ name: 'gooseberryfold_configuration_version', help: 'Version of the configuration in force', registers }),
    queued: new Gauge({ name: 'gooseberryfold_queued_requests', help: 'Requests that wait for a slot', registers }),
    inFlight: new Gauge({ name: 'gooseberryfold_in_flight_requests', help: 'Requests at backend servers', registers }),
    isLeader: new Gauge({ name: 'gooseberryfold_is_leader', help: '1 while this host leads its cell', registers })
  }
}
