package registry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"marblelane/internal/fault"
	"marblelane/internal/registry/listserver"
	"marblelane/internal/registry/storage"
)

// DiskError reports a failed disk write. The replica is closed: what its disk contains is unknown until it is reopened.
type DiskError struct{ Err error }

// Error implements error.
func (e *DiskError) Error() string { return "registry: disk write failed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Err }

// A replica whose disk has failed is reopened after minReopenDelay, doubled after each failed attempt up to
// maxReopenDelay. After stableRunTime the delay starts from minReopenDelay again.
const (
	minReopenDelay = 100 * time.Millisecond
	maxReopenDelay = time.Second
	stableRunTime  = 30 * time.Second
)

// Supervisor runs a replica. When a disk write fails it closes the replica, waits until the data directory is writable
// again, and reopens the replica from disk as a restart of the process does. Meanwhile it serves no requests, so that
// clients use the other replicas.
type Supervisor struct {
	mu   sync.Mutex
	cfg  Config
	node *Node // the replica opened last; closed while disk writes fail
}

// Supervise opens a replica. Call Run to serve requests. Errors of Open are returned and not retried.
func Supervise(cfg Config) (*Supervisor, error) {
	cfg.SetDefaults()
	n, err := Open(cfg)
	if err != nil {
		return nil, err
	}
	cfg.Listen = withBoundPort(cfg.Listen, n.listen.Addr())
	cfg.RaftListen = withBoundPort(cfg.RaftListen, n.raftAddr)
	cfg.reopened = true
	return &Supervisor{cfg: cfg, node: n}, nil
}

// withBoundPort returns the address with port 0 replaced by the port that was bound.
func withBoundPort(address string, bound net.Addr) string {
	host, port, err := net.SplitHostPort(address)
	tcp, ok := bound.(*net.TCPAddr)
	if err != nil || !ok || port != "0" {
		return address
	}
	return net.JoinHostPort(host, fmt.Sprint(tcp.Port))
}

// Node returns the replica that was opened last.
func (s *Supervisor) Node() *Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node
}

// Reload replaces the options of the replica, including those for later reopens. The logger stays.
func (s *Supervisor) Reload(o listserver.Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Log = s.cfg.Log
	s.cfg.Options = o
	s.node.Server().Reload(o)
}

// Run serves until ctx ends. After a failed disk write it waits without limit for the data directory to become
// writable. It returns errors that waiting does not resolve, such as a corrupt log or missing permissions.
func (s *Supervisor) Run(ctx context.Context) error {
	wait := minReopenDelay
	for {
		opened := time.Now()
		err := s.Node().Run(ctx)
		var disk *DiskError
		if ctx.Err() != nil || !errors.As(err, &disk) {
			return err
		}
		if time.Since(opened) >= stableRunTime {
			wait = minReopenDelay
		}
		if wait, err = s.reopen(ctx, wait); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// reopen opens the replica once its data directory is writable. wait is the delay before the first attempt. It returns
// the delay to use after the next disk failure, and no error when ctx ends.
func (s *Supervisor) reopen(ctx context.Context, wait time.Duration) (time.Duration, error) {
	closed, lastError := time.Now(), ""
	for {
		select {
		case <-ctx.Done():
			return wait, nil
		case <-time.After(wait):
		}
		wait = min(2*wait, maxReopenDelay)
		err := s.openIfWritable()
		switch log := s.cfg.Log; {
		case err == nil:
			log.Info("registry: reopened the replica, data directory is writable again", "dir", s.cfg.Dir,
				"after", time.Since(closed).Round(time.Millisecond))
			return wait, nil
		case !mayBeTransient(err):
			return wait, err
		case err.Error() != lastError:
			lastError = err.Error()
			log.Warn("registry: replica stays closed until the data directory is writable", "dir", s.cfg.Dir, "error", err)
		}
	}
}

// openIfWritable opens the replica if its data directory is writable.
func (s *Supervisor) openIfWritable() error {
	s.mu.Lock()
	cfg := s.cfg
	s.mu.Unlock()
	if err := checkWritable(cfg.Dir, cfg.Faults); err != nil {
		return err
	}
	n, err := Open(cfg)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node = n
	n.Server().Reload(s.cfg.Options) // the options may have changed meanwhile
	return nil
}

// mayBeTransient reports whether an error of a reopen may be transient. Only errors that are certainly permanent end
// the supervisor. All others, such as an address in use, are retried.
func mayBeTransient(err error) bool {
	if errors.Is(err, syscall.EIO) {
		return true // the data may be intact
	}
	var corruption *storage.CorruptionError
	if errors.As(err, &corruption) {
		return false
	}
	for _, permanent := range []error{storage.ErrNewerVersion, storage.ErrCorrupt, os.ErrPermission, syscall.ENOTDIR} {
		if errors.Is(err, permanent) {
			return false
		}
	}
	return true
}

// writableCheckBytes is the size of the test write. It exceeds any single write of a replica, so that a disk that is
// nearly full does not count as writable.
const writableCheckBytes = 1 << 20

// checkWritable writes, syncs and removes a file in the data directory. It rejects a directory without a log, as its
// file system may not be mounted.
func checkWritable(dir string, faults *fault.Injector) error {
	if _, err := os.Stat(filepath.Join(dir, storage.StoreFile)); err != nil {
		return err
	}
	_, err := faults.DiskWrite(func(planted error) error {
		if planted != nil {
			return planted
		}
		return writeSyncRemove(filepath.Join(dir, storage.StoreFile+storage.TempSuffix)) // a start deletes one left by a crash
	})
	if err != nil {
		return fmt.Errorf("test write in %s: %w", dir, err)
	}
	return nil
}

// writeSyncRemove writes a file of writableCheckBytes, syncs it and removes it.
func writeSyncRemove(path string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(make([]byte, writableCheckBytes))
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close(), os.Remove(path))
}
