// Package fleet implements the sidecar's side of membership, see docs/membership.md. It is inactive if the
// configuration has no section members.
package fleet
