package sidecartest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"marblelane/internal/sidecar/endpointlist"
)

// ReadPace is how a SlowServer reads the bodies of requests.
type ReadPace struct {
	BytesPerSecond int // 0: as fast as they arrive
	StopAfter      int // bytes of a body after which nothing more is read; 0: all are read
}

// maxPaceStep is the time for which a slow server reads at most at once.
const maxPaceStep = 20 * time.Millisecond

// SlowServer is a server that reads the bodies of requests at a limited pace. It responds to a request that it has read
// completely, and counts it as run.
type SlowServer struct {
	Target endpointlist.Target

	receiveBuffer int // size in bytes of the receive buffer of its connections; 0: the system's default
	work          time.Duration

	mu     sync.Mutex // guards the fields below
	pace   ReadPace
	runs   map[string]int // number of runs of each request, by ID
	closed chan struct{}
}

// NewSlowServer starts a server whose connections have a receive buffer of some bytes; 0 means the system's default. A
// request takes the time work to run.
func NewSlowServer(t *testing.T, uid string, pace ReadPace, receiveBuffer int, work time.Duration) *SlowServer {
	t.Helper()
	listener, err := net.Listen("tcp", Loopback)
	if err != nil {
		t.Fatal(err)
	}
	s := &SlowServer{
		Target: Ready(uid, listener.Addr().String()), receiveBuffer: receiveBuffer, work: work, pace: pace,
		runs: map[string]int{}, closed: make(chan struct{}),
	}
	var handlers sync.WaitGroup
	handlers.Go(func() { s.accept(listener, &handlers) })
	t.Cleanup(func() {
		close(s.closed)
		listener.Close()
		handlers.Wait()
	})
	return s
}

// SetPace changes how bodies are read, from the next read on.
func (s *SlowServer) SetPace(pace ReadPace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = pace
}

func (s *SlowServer) currentPace() ReadPace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace
}

// Runs returns how often a request has run.
func (s *SlowServer) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *SlowServer) accept(listener net.Listener, handlers *sync.WaitGroup) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if s.receiveBuffer > 0 {
			_ = conn.(*net.TCPConn).SetReadBuffer(s.receiveBuffer)
		}
		handlers.Go(func() {
			defer conn.Close()
			go func() {
				<-s.closed
				conn.Close()
			}()
			s.serve(conn)
		})
	}
}

// serve responds to the requests of a connection.
func (s *SlowServer) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, &stoppingReader{server: s, body: newPacedReader(request.Body, 0)}); err != nil {
			return
		}
		id := request.Header.Get("X-Request-ID")
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		time.Sleep(s.work)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id); err != nil {
			return
		}
	}
}

// errServerClosed ends the reads of a body that a server has stopped reading.
var errServerClosed = errors.New("server closed")

// stoppingReader reads a body as its server's pace says.
type stoppingReader struct {
	server *SlowServer
	body   *pacedReader
	read   int // bytes
}

// Read implements io.Reader.
func (r *stoppingReader) Read(p []byte) (int, error) {
	pace := r.server.currentPace()
	if pace.StopAfter > 0 {
		if r.read >= pace.StopAfter {
			<-r.server.closed
			return 0, errServerClosed
		}
		p = p[:min(len(p), pace.StopAfter-r.read)]
	}
	r.body.bytesPerSecond = pace.BytesPerSecond
	n, err := r.body.Read(p)
	r.read += n
	return n, err
}

// pacedReader limits the rate at which a body is read.
type pacedReader struct {
	body           io.Reader
	bytesPerSecond int // 0: no limit
	startedAt      time.Time
	spent          time.Duration // time that the bytes take that were read
}

func newPacedReader(body io.Reader, bytesPerSecond int) *pacedReader {
	return &pacedReader{body: body, bytesPerSecond: bytesPerSecond, startedAt: time.Now()}
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	if r.bytesPerSecond == 0 {
		return r.body.Read(p)
	}
	time.Sleep(time.Until(r.startedAt.Add(r.spent)))
	n, err := r.body.Read(p[:min(len(p), paceStep(r.bytesPerSecond))])
	r.spent += time.Duration(n) * time.Second / time.Duration(r.bytesPerSecond)
	return n, err
}

// paceStep returns how many bytes a peer with a limited rate reads or writes at once.
func paceStep(bytesPerSecond int) int {
	return max(int(time.Duration(bytesPerSecond)*maxPaceStep/time.Second), 1)
}

// SlowAnswer returns a ServeFunc that responds with a body of some bytes, written at a limited pace. It is framed by a
// Content-Length, in chunks, or by the end of the connection.
func SlowAnswer(size, bytesPerSecond int, framing AnswerFraming) ServeFunc {
	return func(conn net.Conn, _ *http.Request, _ string) bool {
		head := "HTTP/1.1 200 OK\r\n" + framing.header(size) + "\r\n"
		if _, err := io.WriteString(conn, head); err != nil {
			return false
		}
		body, startedAt := PatternBody(size), time.Now()
		for sent := 0; sent < size; {
			piece := body[sent:min(sent+paceStep(bytesPerSecond), size)]
			sent += len(piece)
			time.Sleep(time.Until(startedAt.Add(time.Duration(sent) * time.Second / time.Duration(bytesPerSecond))))
			if _, err := conn.Write(framing.encode(piece, sent == size)); err != nil {
				return false
			}
		}
		return framing != AnswerUntilClose
	}
}

// AnswerFraming is how the end of an answer is told.
type AnswerFraming string

// The framings of answers.
const (
	AnswerWithLength AnswerFraming = "length"
	AnswerChunked    AnswerFraming = "chunked"
	AnswerUntilClose AnswerFraming = "close"
)

// header returns the header lines of an answer, each with CRLF.
func (f AnswerFraming) header(size int) string {
	switch f {
	case AnswerWithLength:
		return fmt.Sprintf("Content-Length: %d\r\n", size)
	case AnswerChunked:
		return "Transfer-Encoding: chunked\r\n"
	}
	return "Connection: close\r\n"
}

// encode returns a piece of a body as it is sent; last marks the last one.
func (f AnswerFraming) encode(piece []byte, last bool) []byte {
	if f != AnswerChunked {
		return piece
	}
	text := fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	if last {
		text += "0\r\n\r\n"
	}
	return []byte(text)
}
