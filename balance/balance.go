// Package balance takes the decisions of one sidecar's load balancer: which server gets a request, when it is sent
// again, when it is rejected. It has no side effects: it takes events with their time and returns actions, and uses
// neither clock nor network. Its callers are package sidecar and the adapter of the simulator.
//
// The interface is in api.go (events and actions) and config.go (settings). Balancer, in balancer.go, dispatches the
// events; request.go and request_events.go keep count of requests and attempts. Each decision is a type with its own
// state in a file of its own: picker (pick.go), retryPolicy, admission, slowStart, outlierDetector (ejection.go),
// healthChecker, endpointList (list*.go), locality (zones.go), canaryRouter (routes.go, route_state.go), capacityModel
// (learning.go), demand and wallClock. They have the settings, the time and the servers in common (shared.go). What
// one of them needs of another it gets by a method.
//
// The mechanism is AWRR, health-weighted round robin (docs/design.md): each server has a multiplier m that falls with
// its consecutive errors and recovers with time. Smooth weighted round robin over size × m picks the server. A retry
// goes to the server of highest m that the request has not tried.
package balance
