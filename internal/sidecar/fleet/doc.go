// Package fleet is a sidecar's side of membership, see docs/membership.md. Without the section of the configuration nothing of it
// runs.
package fleet
