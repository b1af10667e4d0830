// Package routing is a sidecar's side of routes, see docs/routes.md. Without the section of the configuration nothing of it runs.
package routing
