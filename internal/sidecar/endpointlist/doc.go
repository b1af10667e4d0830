// Package endpointlist is the JSON form in which list services name servers. It has no goroutines and no locks.
package endpointlist
