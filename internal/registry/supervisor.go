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

// DiskError is a failed disk write. The replica is closed; the content of its disk is known once it is reopened.
type DiskError struct{ Err error }

// Error implements error.
func (e *DiskError) Error() string { return "registry: the disk takes no more: " + e.Err.Error() }

// Unwrap gives the cause.
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
	node *Node // the one opened last; closed while disk writes fail
}

// Supervise opens a replica; Run serves. Its errors are those of Open, which are not retried.
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

// withBoundPort replaces port 0 of an address by the port that was bound.
func withBoundPort(address string, bound net.Addr) string {
	host, port, err := net.SplitHostPort(address)
	tcp, ok := bound.(*net.TCPAddr)
	if err != nil || !ok || port != "0" {
		return address
	}
	return net.JoinHostPort(host, fmt.Sprint(tcp.Port))
}

// Node is the replica that was opened last.
func (s *Supervisor) Node() *Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node
}

// Reload replaces the options, also for later reopens; the logger stays.
func (s *Supervisor) Reload(o listserver.Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Log = s.cfg.Log
	s.cfg.Options = o
	s.node.Server().Reload(o)
}

// Run serves until ctx ends. It waits without limit for a data directory that fails; it returns an error that waiting does
// not resolve, such as a corrupt log or missing permissions.
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

// reopen opens the replica once its data directory is writable. It returns the delay before the next attempt, should the
// disk fail again. It returns no error when ctx ends.
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
			log.Info("registry: the folder takes writes again and was read anew", "dir", s.cfg.Dir,
				"after", time.Since(closed).Round(time.Millisecond))
			return wait, nil
		case !mayBeTransient(err):
			return wait, err
		case err.Error() != lastError:
			lastError = err.Error()
			log.Warn("registry: closed until the folder takes writes again", "dir", s.cfg.Dir, "error", err)
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
	n.Server().Reload(s.cfg.Options) // they may have changed meanwhile
	return nil
}

// mayBeTransient reports whether an error of a reopen may be transient. Only errors that are certainly permanent end the replica;
// others, also an address in use, are retried.
func mayBeTransient(err error) bool {
	if errors.Is(err, syscall.EIO) {
		return true // the data may be intact
	}
	var spoilt *storage.CorruptionError
	if errors.As(err, &spoilt) {
		return false
	}
	for _, lasting := range []error{storage.ErrNewerVersion, storage.ErrCorrupt, os.ErrPermission, syscall.ENOTDIR} {
		if errors.Is(err, lasting) {
			return false
		}
	}
	return true
}

// writableCheckBytes is more than a replica writes at once, so that a disk which is about to be full again does not
// count as writable.
const writableCheckBytes = 1 << 20

// checkWritable verifies that the data directory exists and accepts a file and its sync. A directory without a log is
// not accepted: its file system may not be mounted.
func checkWritable(dir string, faults *fault.Plan) error {
	if _, err := os.Stat(filepath.Join(dir, storage.StoreFile)); err != nil {
		return err
	}
	_, err := faults.DiskWrite(func(planted error) error {
		if planted != nil {
			return planted
		}
		return writeSyncRemove(filepath.Join(dir, storage.StoreFile+storage.TempSuffix)) // a start cuts one that was left
	})
	if err != nil {
		return fmt.Errorf("probe %s: %w", dir, err)
	}
	return nil
}

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
