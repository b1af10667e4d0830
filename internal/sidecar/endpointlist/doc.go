// Package endpointlist is the JSON form in which discovery names servers.
package endpointlist
