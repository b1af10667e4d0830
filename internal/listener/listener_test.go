package listener

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// failingListener is a listener whose accepts fail with the given errnos in turn, and then block until it is closed.
type failingListener struct {
	mu        sync.Mutex      // guards accepts
	errnos    []syscall.Errno // results of the accepts in turn; 0 accepts a connection
	accepts   int             // number of accepts that have returned a result of errnos
	closeOnce sync.Once
	closed    chan struct{}
}

func newFailingListener(errnos ...syscall.Errno) *failingListener {
	return &failingListener{errnos: errnos, closed: make(chan struct{})}
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.mu.Lock()
	if f.accepts == len(f.errnos) {
		f.mu.Unlock()
		<-f.closed
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
	}
	errno := f.errnos[f.accepts]
	f.accepts++
	f.mu.Unlock()
	if errno != 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	conn, other := net.Pipe()
	other.Close()
	return conn, nil
}

func (f *failingListener) Close() error {
	f.closeOnce.Do(func() { close(f.closed) })
	return nil
}

func (f *failingListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// transientErrnos are the errors that accept(2) lists for Linux, except those that mean that the socket is lost.
var transientErrnos = []syscall.Errno{
	unix.EAGAIN, unix.ECONNABORTED, unix.EFAULT, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM,
	unix.ENOTSOCK, unix.EOPNOTSUPP, unix.EPERM, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
	unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ENOSR, unix.ESOCKTNOSUPPORT, unix.EPROTONOSUPPORT, unix.ETIMEDOUT, unix.ENOSYS,
}

func TestAccept_transientErrno(t *testing.T) {
	for _, errno := range transientErrnos {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := Wrap(newFailingListener(errno, errno, 0), "clients", slog.New(slog.DiscardHandler))
				started := time.Now()
				conn, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				conn.Close()
				if elapsed := time.Since(started); elapsed != 15*time.Millisecond {
					t.Errorf("two failures took %v, want pauses of 5 and 10 ms", elapsed)
				}
			})
		})
	}
}

// An HTTP server continues to serve after transient errors of accept.
func TestAccept_httpServer(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := Wrap(&failFirstListener{Listener: inner, errnos: transientErrnos[:10]}, "clients", slog.New(slog.DiscardHandler))
	srv := &http.Server{Handler: http.NotFoundHandler()}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(l) }()
	t.Cleanup(func() { srv.Close() })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	resp, err := client.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	srv.Close()
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("server ended with %v, want http.ErrServerClosed", err)
	}
}

// failFirstListener fails with each of its errnos in turn before it accepts connections.
type failFirstListener struct {
	net.Listener
	errnos []syscall.Errno // errors of the next accepts
}

func (f *failFirstListener) Accept() (net.Conn, error) {
	if len(f.errnos) == 0 {
		return f.Listener.Accept()
	}
	errno := f.errnos[0]
	f.errnos = f.errnos[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

func TestAccept_lostSocket(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.EBADF, unix.EINVAL} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			_, err := Wrap(newFailingListener(errno), "management", slog.New(slog.DiscardHandler)).Accept()
			if !errors.Is(err, errno) || errors.Is(err, net.ErrClosed) ||
				!strings.Contains(err.Error(), "management at 127.0.0.1:1") {
				t.Errorf("%v, want an error that names the listener", err)
			}
		})
	}
}

// After Close, Accept returns net.ErrClosed for any error of the socket.
func TestAccept_afterClose(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.EBADF, unix.EINVAL, unix.ENOBUFS} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			l := Wrap(newFailingListener(errno), "clients", slog.New(slog.DiscardHandler))
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("%v, want net.ErrClosed", err)
			}
		})
	}
}

func TestClose_duringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := newFailingListener(unix.ENFILE, unix.ENFILE, unix.ENFILE, unix.ENFILE, unix.ENFILE, unix.ENFILE, unix.ENFILE)
		l := Wrap(inner, "clients", slog.New(slog.DiscardHandler))
		started := time.Now()
		ended := make(chan error, 1)
		go func() {
			_, err := l.Accept()
			ended <- err
		}()
		synctest.Wait() // until Accept is in its first pause
		l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) || time.Since(started) != 0 || inner.accepts != 1 {
			t.Errorf("%v after %v and %d accepts, want net.ErrClosed at once", err, time.Since(started), inner.accepts)
		}
	})
}

// Pauses double from 5 to 100 ms, a success resets them, and at most one failure per 5 s is logged.
func TestAccept_pausesAndLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var errnos []syscall.Errno
		for range 120 {
			errnos = append(errnos, unix.ENOMEM)
		}
		errnos = append(errnos, 0, unix.ENOMEM, 0)
		var text bytes.Buffer
		l := Wrap(newFailingListener(errnos...), "clients", slog.New(slog.NewTextHandler(&text, nil)))
		for _, want := range []time.Duration{
			5*time.Millisecond + 10*time.Millisecond + 20*time.Millisecond + 40*time.Millisecond + 80*time.Millisecond +
				115*100*time.Millisecond,
			5 * time.Millisecond,
		} {
			started := time.Now()
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			conn.Close()
			if elapsed := time.Since(started); elapsed != want {
				t.Errorf("accepted after %v, want %v", elapsed, want)
			}
		}
		if lines := strings.Count(text.String(), "\n"); lines != 3 {
			t.Errorf("%d log lines in 11.7 s, want one per 5 s:\n%s", lines, text.String())
		}
	})
}
