// Package balance makes the decisions of one sidecar's load balancer: which server gets a request, when the request
// is retried, and when it is rejected. The package has no side effects: it takes events with their times and
// returns actions, and uses neither clock nor network. Its callers are package sidecar and the adapter of the
// simulator.
//
// The interface is in api.go (events and actions) and config.go (settings). Balancer, in balancer.go, dispatches
// the events; request.go and request_events.go keep the state of requests and attempts. Each kind of decision is a
// type with its own state in its own file: picker (pick.go), retryPolicy, admission, slowStart, outlierDetector
// (ejection.go), healthChecker, endpointList (list*.go), locality (zones.go), canaryRouter (routes.go,
// route_state.go), capacityModel (learning.go), demand and wallClock. They share the settings, the time and the
// servers (shared.go), and use each other only by methods.
//
// The mechanism is AWRR, health-weighted round robin (docs/design.md). Each server has a multiplier m that falls
// with its consecutive errors and recovers with time. Smooth weighted round robin with the weights size × m selects
// the server. A retry goes to the server with the highest m that the request has not tried.
package balance
