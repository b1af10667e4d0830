package netcall

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"marblelane/internal/sidecar/sidecartest"
)

// Waiting connections are not overlooked if the length of the accept queue is not available, or not at the first
// query.
func TestListenQueue_queryFails(t *testing.T) {
	failing := func(errno syscall.Errno) func(int) (*unix.TCPInfo, error) {
		return func(int) (*unix.TCPInfo, error) { return nil, errno }
	}
	failingPoll := func([]unix.PollFd, int) (int, error) { return 0, unix.ENOMEM }
	once := func(errno syscall.Errno) func(int) (*unix.TCPInfo, error) {
		failure := sidecartest.FailFirst(1, errno)
		return func(fd int) (*unix.TCPInfo, error) {
			if err := failure(); err != nil {
				return nil, err
			}
			return systemListenQueue.tcpInfo(fd)
		}
	}
	type test struct {
		queue              listenQueue
		empty, two, closed int
	}
	tests := map[string]test{
		"length":          {systemListenQueue, 0, 2, 0},
		"not supported":   {listenQueue{failing(unix.ENOPROTOOPT), unix.Poll}, 0, 1, 0},
		"both calls fail": {listenQueue{failing(unix.EPERM), failingPoll}, 1, 1, 0},
		"unrelated state": {listenQueue{func(int) (*unix.TCPInfo, error) { return &unix.TCPInfo{}, nil }, failingPoll}, 0, 0, 0},
	}
	for _, errno := range sidecartest.ResourceErrnos {
		tests["once "+unix.ErrnoName(errno)] = test{listenQueue{once(errno), failingPoll}, 0, 2, 0}
		tests["always "+unix.ErrnoName(errno)] = test{listenQueue{failing(errno), unix.Poll}, 0, 1, 0}
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", sidecartest.Loopback)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			tcp := l.(*net.TCPListener)
			if got := test.queue.length(tcp); got != test.empty {
				t.Errorf("length %d with no connection, want %d", got, test.empty)
			}
			for range 2 {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
			}
			sidecartest.Until(t, "two waiting connections", func() bool { return systemListenQueue.length(tcp) == 2 })
			if got := test.queue.length(tcp); got != test.two {
				t.Errorf("length %d with two connections, want %d", got, test.two)
			}
			l.Close()
			if got := test.queue.length(tcp); got != test.closed {
				t.Errorf("length %d of a closed socket, want %d", got, test.closed)
			}
		})
	}
}

// A close behind unread bytes is detected even if the first queries of the connection's state fail.
func TestPeerClosed_queryFailsOnce(t *testing.T) {
	for _, errno := range sidecartest.ResourceErrnos {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			failure := func() error { return nil }
			states := &ConnStateReader{Query: func(fd int) (uint8, error) {
				if err := failure(); err != nil {
					return 0, err
				}
				return tcpState(fd)
			}}
			client, server := tcpPair(t)
			states.VerifyQuery(server)
			system := NewConnStateReader()
			system.VerifyQuery(server)
			if _, err := io.WriteString(client, "x"); err != nil {
				t.Fatal(err)
			}
			client.Close()
			sidecartest.Until(t, "the close to arrive", func() bool { return system.PeerClosed(server) })
			failure = sidecartest.FailFirst(maxQueryTries-1, errno)
			if !states.PeerClosed(server) {
				t.Error("a closed connection is taken for an open one")
			}
		})
	}
}

// A call is repeated for about maxCallTime, and no longer than maxCallTime and one pause.
func TestRetryCall_timeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		err := RetryCall(func() error { return unix.ENOMEM })
		if took := time.Since(startedAt); !errors.Is(err, unix.ENOMEM) || took < maxCallTime || took > maxCallTime+maxCallPause {
			t.Errorf("error %v after %v", err, took)
		}
	})
}
