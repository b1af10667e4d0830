package view

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"marblelane/internal/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve starts a server and returns its address.
func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

const oneReport = `{"self":{"name":"n0","start":1},"changes":%d}` + "\n"

// A watch that ends, receives no data or receives garbage is restarted. A response with status 404 ends it.
func TestWatch_Restarts(t *testing.T) {
	var calls atomic.Int64
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch calls.Add(1) {
		case 1:
			fmt.Fprintf(w, "\n"+oneReport+"\n", 1)
		case 2:
			fmt.Fprintf(w, oneReport, 2)
			w.(http.Flusher).Flush()
			<-r.Context().Done() // no data until the client closes the connection
		case 3:
			fmt.Fprintln(w, "garbage")
		case 4:
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case 5:
			fmt.Fprintf(w, oneReport, 3)
		default:
			http.Error(w, "off", http.StatusNotFound)
		}
	})
	c := &Client{retryDelay: time.Millisecond, idleTimeout: 50 * time.Millisecond}
	var changes []uint64
	var failures []string
	err := c.Watch(t.Context(), addr, func(r *membership.Report, line []byte) error {
		changes = append(changes, r.Changes)
		return nil
	}, func(err error, _ time.Duration) { failures = append(failures, err.Error()) })
	var status *StatusError
	require.ErrorAs(t, err, &status)
	assert.Equal(t, http.StatusNotFound, status.Code)
	assert.Equal(t, []uint64{1, 2, 3}, changes)
	for i, want := range []string{"ended", "watch idle: no data received", "parse report", "response status 503: busy", "ended"} {
		assert.Contains(t, failures[i], want)
	}
	stop := errors.New("enough")
	calls.Store(0)
	assert.Equal(t, stop, c.Watch(t.Context(), addr, func(*membership.Report, []byte) error { return stop }, nil))
}

// Observe sends requests to all processes, at most MaxParallel at a time. A process that hangs does not affect the
// others.
func TestObserve_ParallelAndTimeout(t *testing.T) {
	var running, maxRunning atomic.Int64
	good := func(w http.ResponseWriter, _ *http.Request) {
		for n := running.Add(1); n > maxRunning.Load(); n = running.Load() {
			maxRunning.Store(n)
		}
		defer running.Add(-1)
		fmt.Fprintf(w, oneReport, 0)
	}
	addrs := []string{serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })}
	for range 5 {
		addrs = append(addrs, serve(t, good))
	}
	observations := (&Client{Timeout: 300 * time.Millisecond, MaxParallel: 2}).Observe(t.Context(), addrs, 0)
	assert.LessOrEqual(t, maxRunning.Load(), int64(2))
	assert.ErrorIs(t, observations[0].Err, context.DeadlineExceeded)
	for i, o := range observations[1:] {
		assert.True(t, o.Complete(), o.Err)
		assert.Equal(t, addrs[i+1], o.Addr)
	}
}
