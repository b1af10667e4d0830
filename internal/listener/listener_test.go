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

// failing is a listener whose accepts fail as planned, and then wait for its end.
type failing struct {
	mu     sync.Mutex
	errnos []syscall.Errno // of the next accepts; 0: a connection comes
	tried  int
	once   sync.Once
	end    chan struct{}
}

func newFailing(errnos ...syscall.Errno) *failing {
	return &failing{errnos: errnos, end: make(chan struct{})}
}

func (f *failing) Accept() (net.Conn, error) {
	f.mu.Lock()
	if f.tried == len(f.errnos) {
		f.mu.Unlock()
		<-f.end
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
	}
	errno := f.errnos[f.tried]
	f.tried++
	f.mu.Unlock()
	if errno != 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	conn, other := net.Pipe()
	other.Close()
	return conn, nil
}

func (f *failing) Close() error {
	f.once.Do(func() { close(f.end) })
	return nil
}

func (f *failing) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// momentary are the errors that accept(2) lists for Linux, but for those that say that the socket is lost.
var momentary = []syscall.Errno{
	unix.EAGAIN, unix.ECONNABORTED, unix.EFAULT, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM,
	unix.ENOTSOCK, unix.EOPNOTSUPP, unix.EPERM, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET,
	unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ENOSR, unix.ESOCKTNOSUPPORT, unix.EPROTONOSUPPORT, unix.ETIMEDOUT, unix.ENOSYS,
}

func TestAcceptGoesOnAfterFailures(t *testing.T) {
	for _, errno := range momentary {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := Wrap(newFailing(errno, errno, 0), "clients", slog.New(slog.DiscardHandler))
				began := time.Now()
				conn, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				conn.Close()
				if took := time.Since(began); took != 15*time.Millisecond {
					t.Errorf("two failures took %v, want pauses of 5 and 10 ms", took)
				}
			})
		})
	}
}

// An HTTP server over the listener serves on after each of the errors.
func TestServerGoesOnAfterFailures(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := Wrap(&failsFirst{Listener: inner, errnos: momentary[:10]}, "clients", slog.New(slog.DiscardHandler))
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
		t.Errorf("the server ended with %v", err)
	}
}

// failsFirst fails as planned before it accepts.
type failsFirst struct {
	net.Listener
	errnos []syscall.Errno
}

func (f *failsFirst) Accept() (net.Conn, error) {
	if len(f.errnos) == 0 {
		return f.Listener.Accept()
	}
	errno := f.errnos[0]
	f.errnos = f.errnos[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

func TestLostSocketEndsAccept(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.EBADF, unix.EINVAL} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			_, err := Wrap(newFailing(errno), "management", slog.New(slog.DiscardHandler)).Accept()
			if !errors.Is(err, errno) || errors.Is(err, net.ErrClosed) ||
				!strings.Contains(err.Error(), "management at 127.0.0.1:1") {
				t.Errorf("%v, want an error that names the listener", err)
			}
		})
	}
}

// Whatever an accept says that was under way at Close, it was Close that ended it.
func TestAcceptAfterClose(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.EBADF, unix.EINVAL, unix.ENOBUFS} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			l := Wrap(newFailing(errno), "clients", slog.New(slog.DiscardHandler))
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("%v, want net.ErrClosed", err)
			}
		})
	}
}

func TestCloseEndsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := newFailing(unix.ENFILE, unix.ENFILE, unix.ENFILE, unix.ENFILE, unix.ENFILE, unix.ENFILE, unix.ENFILE)
		l := Wrap(inner, "clients", slog.New(slog.DiscardHandler))
		began := time.Now()
		ended := make(chan error, 1)
		go func() {
			_, err := l.Accept()
			ended <- err
		}()
		synctest.Wait() // in its first pause
		l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) || time.Since(began) != 0 || inner.tried != 1 {
			t.Errorf("%v after %v and %d accepts, want net.ErrClosed at once", err, time.Since(began), inner.tried)
		}
	})
}

// Pauses double from 5 to 100 ms, a success resets them, and the log has a line each 5 s.
func TestPausesAndLogAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var errnos []syscall.Errno
		for range 120 {
			errnos = append(errnos, unix.ENOMEM)
		}
		errnos = append(errnos, 0, unix.ENOMEM, 0)
		var text bytes.Buffer
		l := Wrap(newFailing(errnos...), "clients", slog.New(slog.NewTextHandler(&text, nil)))
		for _, want := range []time.Duration{
			5*time.Millisecond + 10*time.Millisecond + 20*time.Millisecond + 40*time.Millisecond + 80*time.Millisecond +
				115*100*time.Millisecond,
			5 * time.Millisecond,
		} {
			began := time.Now()
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			conn.Close()
			if took := time.Since(began); took != want {
				t.Errorf("accepted after %v, want %v", took, want)
			}
		}
		if lines := strings.Count(text.String(), "\n"); lines != 3 {
			t.Errorf("%d lines in 11.7 s, want one each 5 s:\n%s", lines, text.String())
		}
	})
}
