/** Whether this host reaches backend servers directly. */
export * from './connect_probe.ts'
export * from './reachability_monitor.ts'
