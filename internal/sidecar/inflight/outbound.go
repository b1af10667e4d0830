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
	Upload *Upload // in place of body: it is passed on as it comes
	// The first bytes of the latest attempt, and of the first that may have run; zero: none. Its attempts follow each
	// other, so there is no lock.
	LastFirstByte, MayRunSince time.Time
}
