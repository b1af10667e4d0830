// Package routing implements the sidecar's side of routes, see docs/routes.md. It is inactive if the configuration has
// no section routes.
package routing
