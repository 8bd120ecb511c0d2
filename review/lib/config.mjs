/** Configurations as the operators of the platform write them, in the plain layout that deploy/wire.toml selects. */

/** Host that all routes of the stand-in configurations share. */
export const callersHost = 'jepu9.example'

/** Returns a route. */
export function route (name, prefix, service, kind = 'safe', more = {}) {
  return { Name: name, Host: callersHost, PathPrefix: prefix, RouteKind: kind, TimeoutMs: 1500, TargetLatencyMs: 400, Priority: 1, Attempts: 2, Service: service, ...more }
}

/** Returns a configuration with the services that its routes name. */
export function config (version, routes) {
  const names = [...new Set(routes.flatMap(({ Service, TrafficSplit }) => Service === undefined ? TrafficSplit.map((part) => part.Service) : [Service]))]
  const services = names.map((Name) => ({ Name, HealthPath: '/healthz', MaxConns: 240, Protocol: 'h1', Tls: false }))
  return { Version: version, Routes: routes, Services: services, Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 } }
}
