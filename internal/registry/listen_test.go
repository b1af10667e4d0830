package registry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"marblelane/internal/listener"
)

// logSignal is a log output that signals each line.
type logSignal chan struct{}

func (s logSignal) Write(p []byte) (int, error) {
	select {
	case s <- struct{}{}:
	default:
	}
	return len(p), nil
}

// An address in use is retried and bound once it is free.
func TestStart_AddressFreedLater(t *testing.T) {
	for _, key := range []string{"listen", "raft"} {
		t.Run(key, func(t *testing.T) {
			holder, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer holder.Close()
			failed := make(logSignal, 1)
			cfg := Config{Name: "r0", Listen: "127.0.0.1:0", RaftListen: "127.0.0.1:0"}
			cfg.Log = slog.New(slog.NewTextHandler(failed, nil))
			*map[string]*string{"listen": &cfg.Listen, "raft": &cfg.RaftListen}[key] = holder.Addr().String()
			opened := make(chan error, 1)
			go func() {
				n, err := Open(cfg)
				if err == nil {
					n.closeAll()
				}
				opened <- err
			}()
			select {
			case <-failed:
			case <-time.After(20 * time.Second):
				t.Error("no failed bind was logged")
			}
			holder.Close()
			if err := <-opened; err != nil {
				t.Error(err)
			}
		})
	}
}

// A permanent error fails the start without retries, and the error names the address.
func TestStart_ForeignAddress(t *testing.T) {
	const foreign = "192.0.2.1:7001" // TEST-NET-1 (RFC 5737)
	for _, key := range []string{"listen", "raft"} {
		t.Run(key, func(t *testing.T) {
			failed := make(logSignal, 1)
			cfg := Config{Name: "r0", Listen: "127.0.0.1:0", RaftListen: "127.0.0.1:0"}
			cfg.Log = slog.New(slog.NewTextHandler(failed, nil))
			*map[string]*string{"listen": &cfg.Listen, "raft": &cfg.RaftListen}[key] = foreign
			_, err := Open(cfg)
			if !errors.Is(err, syscall.EADDRNOTAVAIL) || !strings.Contains(err.Error(), foreign) || len(failed) > 0 {
				t.Errorf("%v, retried: %v", err, len(failed) > 0)
			}
		})
	}
}

// A few failed accepts do not end the HTTP service.
func TestListeners_acceptFailures(t *testing.T) {
	cfg := Config{Name: "r0", Listen: "127.0.0.1:0", RaftListen: "127.0.0.1:0"}
	cfg.Log = slog.New(slog.DiscardHandler)
	n, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	wrapped, ok := n.listen.(*listener.Listener)
	if !ok {
		t.Fatalf("the listener is a %T, which stops at the first failed accept", n.listen)
	}
	wrapped.Listener = &failsFirst{Listener: wrapped.Listener, left: 3}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	conn, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("GET /no HTTP/1.1\r\nHost: r0\r\nConnection: close\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	response := make([]byte, 12)
	if _, err := conn.Read(response); err != nil || string(response) != "HTTP/1.1 404" {
		t.Errorf("%q, %v", response, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// failsFirst is a listener whose first accepts fail, as many as left.
type failsFirst struct {
	net.Listener
	left int
}

func (f *failsFirst) Accept() (net.Conn, error) {
	if f.left > 0 {
		f.left--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOBUFS}
	}
	return f.Listener.Accept()
}

// A transient failure to read the configuration, such as no free file descriptor, is retried.
func TestLoad_TransientReadFailure(t *testing.T) {
	path := filepath.Join(t.TempDir(), "copy.toml")
	text := "name = \"r0\"\nlisten = \"127.0.0.1:0\"\nraft = \"127.0.0.1:0\"\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.EMFILE, syscall.ENOMEM, syscall.EINTR, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			attempts := 0
			cfg, err := loadConfig(path, func(path string) ([]byte, error) {
				if attempts++; attempts < 3 {
					return nil, &os.PathError{Op: "open", Path: path, Err: errno}
				}
				return os.ReadFile(path)
			})
			if err != nil || cfg.Name != "r0" || attempts != 3 {
				t.Errorf("%v after %d attempts", err, attempts)
			}
		})
	}
	attempts := 0
	_, err := loadConfig(path, func(path string) ([]byte, error) {
		attempts++
		return nil, &os.PathError{Op: "open", Path: path, Err: syscall.EACCES}
	})
	if !errors.Is(err, syscall.EACCES) || !strings.Contains(err.Error(), path) || attempts != 1 {
		t.Errorf("%v after %d attempts, want EACCES after one", err, attempts)
	}
}
