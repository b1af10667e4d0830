package streamlimit

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// streamUntilError writes and flushes until a write or a flush fails, and returns the error.
func streamUntilError(w http.ResponseWriter) error {
	chunk := make([]byte, 1<<20)
	control := http.NewResponseController(w)
	for {
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
	}
}

// The response to a client that reads nothing ends after WriteTimeout, and another client is admitted.
func TestLimiter_writeTimeout(t *testing.T) {
	limiter := Limiter{MaxOpen: 1, WriteTimeout: 50 * time.Millisecond}
	ended := make(chan error, 2)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limiter.Serve(w, r, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ended <- streamUntilError(w)
		}))
	}))
	srv.Config.WriteTimeout = time.Hour // longer than the test, so that only the deadline of the limiter applies
	srv.Start()
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	require.NoError(t, err)
	defer resp.Body.Close()
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("the response did not end after WriteTimeout")
	}
	require.Eventually(t, func() bool {
		next, err := http.Get(srv.URL)
		if err != nil {
			return false
		}
		next.Body.Close()
		return next.StatusCode == http.StatusOK
	}, 20*time.Second, time.Millisecond)
	head, err := http.Head(srv.URL)
	require.NoError(t, err)
	require.Equal(t, http.StatusMethodNotAllowed, head.StatusCode)
}

func TestLimiter_maxOpen(t *testing.T) {
	limiter := Limiter{MaxOpen: 2, WriteTimeout: time.Second}
	open, end := make(chan bool), make(chan bool)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limiter.Serve(w, r, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { open <- true; <-end }))
	}))
	defer srv.Close()
	get := func() (status int) {
		resp, err := http.Get(srv.URL)
		if err == nil {
			status = resp.StatusCode
			resp.Body.Close()
		}
		return status
	}
	status := make(chan int)
	for range 2 {
		go func() { status <- get() }()
		<-open
	}
	require.Equal(t, http.StatusServiceUnavailable, get())
	close(end)
	require.Equal(t, http.StatusOK, <-status)
	require.Equal(t, http.StatusOK, <-status)
	require.Zero(t, limiter.openResponses.Load())
}
