package inflight

import (
	"net/http"
	"net/url"
	"time"
)

// Outbound is a request as servers get it.
type Outbound struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header // end-to-end headers only
	Body   []byte
	Upload *Upload // in place of Body: it is streamed

	// LastFirstByteAt is when the latest attempt sent its first byte, and MayHaveRunSince when the first attempt did that may
	// have run; zero: none. The attempts of a request follow each other, so that there is no lock.
	LastFirstByteAt, MayHaveRunSince time.Time
}
