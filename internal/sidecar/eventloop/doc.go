// Package eventloop owns the balancer of a sidecar. It is the only caller: messages come in, are handed to the balancer as events,
// and its actions are carried out.
package eventloop
