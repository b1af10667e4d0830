// Package eventloop owns the balancer of a sidecar and is its only caller. It passes incoming messages to the balancer as
// events and executes the actions that the balancer returns.
package eventloop
