/** Configurations of the operator, as the site files of the small deployments have them. */

/** One route to one service. */
export function route ({ name, host = 'review.example', prefix = `/${name}/`, kind = 'idempotent', service = name, timeoutMs = 1000, goalMs = 400, attempts = 2, priority = 1 }) {
  return { host, rule: { Name: name, Kind: kind, LatencyGoal: `${goalMs}ms`, Priority: priority, Match: { Prefix: prefix }, Action: { Service: service, Timeout: `${timeoutMs}ms`, MaxAttempts: attempts } } }
}

/** A configuration with some routes. */
export function configuration (routes, { version = 7, clusters = [] } = {}) {
  const hosts = [...new Set(routes.map(({ host }) => host))]
  const services = [...new Set(routes.map(({ rule }) => rule.Action.Service))]
  return {
    Version: version,
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: '3000ms', IdleTimeout: '15000ms' },
    Listeners: hosts.map((host) => ({ Host: host, Rules: routes.filter((candidate) => candidate.host === host).map(({ rule }) => rule) })),
    Clusters: services.map((name) => ({ Name: name, HealthPath: '/health', MaxConns: 244, Protocol: 'h1', Tls: false, ...clusters.find((cluster) => cluster.Name === name) }))
  }
}
