package inflight

import (
	"net/http"
	"net/url"
	"time"
)

// Outbound is a request in the form in which it is sent to servers.
type Outbound struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header // end-to-end headers only
	Body   []byte
	Upload *Upload // replaces Body if the body is streamed; otherwise nil

	// LastFirstByteAt is when the latest attempt sent its first byte. MayHaveRunSince is when the first attempt whose
	// request a server may have run sent its first byte. Both are zero if there is no such attempt. They need no lock,
	// since the attempts of a request run one after the other.
	LastFirstByteAt, MayHaveRunSince time.Time
}
