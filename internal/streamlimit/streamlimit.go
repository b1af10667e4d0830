// Package streamlimit limits streaming HTTP responses, such as watches: the number that are open at once, and the time
// that a client may take to read one write. The management address of a sidecar and the list service use it.
package streamlimit

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Limiter limits the streaming responses of one kind. The zero value admits none. It is safe for concurrent use.
type Limiter struct {
	MaxOpen       int64         // maximum number of open responses
	WriteTimeout  time.Duration // timeout of one write; replaces the WriteTimeout of the HTTP server
	openResponses atomic.Int64  // number of open responses, including one that is about to be rejected
}

// Serve runs the handler for a streaming response. It responds with 503 if MaxOpen responses are open, and with 405 to
// methods other than GET. HEAD is rejected because its response has no body, so that no write would detect that the
// client has disconnected.
func (l *Limiter) Serve(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	defer l.openResponses.Add(-1)
	if l.openResponses.Add(1) > l.MaxOpen {
		http.Error(w, "others watch already", http.StatusServiceUnavailable)
		return
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		http.Error(w, "watch: "+err.Error(), http.StatusInternalServerError)
		return
	}
	handler.ServeHTTP(&streamWriter{w, control, l.WriteTimeout}, r)
}

// streamWriter sets a deadline for each write of a response.
type streamWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

// Write sets the write deadline and writes. The deadline also covers the following flush.
func (s *streamWriter) Write(p []byte) (int, error) {
	if err := s.control.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
		return 0, err
	}
	return s.ResponseWriter.Write(p)
}

// Unwrap lets a handler flush through http.ResponseController.
func (s *streamWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }
