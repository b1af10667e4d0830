// Package balance takes the decisions of one sidecar's load balancer: which server gets a request, when it is
// tried again, when it is rejected. It is pure: fed events with a clock, it returns actions, and it never looks at a
// clock or a socket. Package sidecar and the adapter of the simulator are its callers.
//
// Its interface (Config, events, Action) is in api.go, what it remembers and Handle in state.go, and events.go keeps
// count of requests and attempts. Each decision has a file: pick, retry, admission, slow_start, ejection, health_check,
// learning, list (with wallclock, for the starts that lists tell), zones and routes.
//
// The mechanism is AWRR (docs/design.md): each server has a multiplier m that falls with its consecutive
// errors and recovers with time; smooth weighted round robin over size × m picks the server; a failed
// repeatable request goes to the untried server of highest m.
package balance
