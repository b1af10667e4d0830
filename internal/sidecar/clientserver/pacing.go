package clientserver

import (
	"net/http"

	"golang.org/x/time/rate"
)

// A connection whose requests need no server can send them as fast as they are answered, and each is work for the one
// processor. Beyond these limits its next request waits.
const (
	maxOwnResponseRate  = 200 // per second
	maxOwnResponseBurst = 20
)

// awaitOwnResponse waits until the connection of a request may get another response that needs no server.
func awaitOwnResponse(r *http.Request) {
	conn := clientConn(r)
	if conn == nil {
		return
	}
	if conn.ownResponses == nil {
		conn.ownResponses = rate.NewLimiter(maxOwnResponseRate, maxOwnResponseBurst)
	}
	_ = conn.ownResponses.Wait(r.Context()) // ends early if the client has disconnected
}
