// Package heldproxy provides an HTTP proxy that holds back the response to a request, so that a test can act while the
// request was carried out and its caller does not know.
package heldproxy

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"testing"
)

// Proxy forwards requests to a target.
type Proxy struct {
	// Held is closed once the target has responded to the first request that is held.
	Held chan struct{}

	server  *httptest.Server
	forward *httputil.ReverseProxy
	hold    func(*http.Request) bool
	outcome chan bool // true: the held response is sent; false: the connection ends without it
}

// Start starts a proxy in front of target, a HOST:PORT. It holds the response to the first request for which hold
// returns true. It closes with the test.
func Start(t testing.TB, target string, hold func(*http.Request) bool) *Proxy {
	p := &Proxy{Held: make(chan struct{}), hold: hold, outcome: make(chan bool, 1),
		forward: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})}
	p.server = httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(p.server.Close)
	return p
}

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() string { return p.server.Listener.Addr().String() }

// Send sends the held response.
func (p *Proxy) Send() { p.outcome <- true }

// Lose ends the connection of the held request without a response.
func (p *Proxy) Lose() { p.outcome <- false }

// serve forwards a request, and waits for Send or Lose if its response is held.
func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) {
	if !p.hold(r) {
		p.forward.ServeHTTP(w, r)
		return
	}
	response := httptest.NewRecorder()
	p.forward.ServeHTTP(response, r)
	close(p.Held)
	if !<-p.outcome {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes()) // the caller may have left
}
