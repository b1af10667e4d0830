package streamlimit

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller that takes nothing has its place for so long, then another has it.
func TestWhoTakesNothingMakesRoom(t *testing.T) {
	a := Limiter{MaxOpen: 1, WriteTimeout: 50 * time.Millisecond}
	ended := make(chan error, 2)
	text := make([]byte, 1<<20)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.Serve(w, r, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var err error
			for flush := http.NewResponseController(w); err == nil; err = flush.Flush() {
				if _, err = w.Write(text); err != nil {
					break
				}
			}
			ended <- err
		}))
	}))
	srv.Config.WriteTimeout = time.Hour // of the deadlines only that of the write is met
	srv.Start()
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	require.NoError(t, err)
	defer resp.Body.Close()
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("it is written to still")
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

func TestBounded(t *testing.T) {
	a := Limiter{MaxOpen: 2, WriteTimeout: time.Second}
	there, end := make(chan bool), make(chan bool)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.Serve(w, r, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { there <- true; <-end }))
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
		<-there
	}
	require.Equal(t, http.StatusServiceUnavailable, get())
	close(end)
	require.Equal(t, http.StatusOK, <-status)
	require.Equal(t, http.StatusOK, <-status)
	require.Zero(t, a.open.Load())
}
