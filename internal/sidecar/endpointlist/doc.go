// Package endpointlist defines the JSON form of the endpoint lists that list services send. It has no goroutines and no
// locks.
package endpointlist
