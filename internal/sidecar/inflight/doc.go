// Package inflight is a request in flight: the call of the client, what servers get of it, and the one answer.
package inflight
