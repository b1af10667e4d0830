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

// While the length of a queue cannot be had, or only for a moment, connections that wait in it are not overlooked.
func TestListenQueue_queryFails(t *testing.T) {
	failing := func(errno syscall.Errno) func(int) (*unix.TCPInfo, error) {
		return func(int) (*unix.TCPInfo, error) { return nil, errno }
	}
	noPoll := func([]unix.PollFd, int) (int, error) { return 0, unix.ENOMEM }
	once := func(errno syscall.Errno) func(int) (*unix.TCPInfo, error) {
		failure := sidecartest.FailFirst(1, errno)
		return func(fd int) (*unix.TCPInfo, error) {
			if err := failure(); err != nil {
				return nil, err
			}
			return systemQueue.tcpInfo(fd)
		}
	}
	type test struct {
		queue              listenQueue
		empty, two, closed int
	}
	tests := map[string]test{
		"known":             {systemQueue, 0, 2, 0},
		"unknown call":      {listenQueue{failing(unix.ENOPROTOOPT), unix.Poll}, 0, 1, 0},
		"neither call":      {listenQueue{failing(unix.EPERM), noPoll}, 1, 1, 0},
		"of something else": {listenQueue{func(int) (*unix.TCPInfo, error) { return &unix.TCPInfo{}, nil }, noPoll}, 0, 0, 0},
	}
	for _, errno := range sidecartest.ResourceErrnos {
		tests["once "+unix.ErrnoName(errno)] = test{listenQueue{once(errno), noPoll}, 0, 2, 0}
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
			if got := test.queue.waiting(tcp); got != test.empty {
				t.Errorf("none waits: %d, want %d", got, test.empty)
			}
			for range 2 {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
			}
			sidecartest.Until(t, "two that wait", func() bool { return systemQueue.waiting(tcp) == 2 })
			if got := test.queue.waiting(tcp); got != test.two {
				t.Errorf("two wait: %d, want %d", got, test.two)
			}
			l.Close()
			if got := test.queue.waiting(tcp); got != test.closed {
				t.Errorf("closed: %d, want %d", got, test.closed)
			}
		})
	}
}

// An end behind unread bytes is seen though the first queries of the connection's state fail.
func TestPeerGone_queryFailsOnce(t *testing.T) {
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
			sidecartest.Until(t, "the end to arrive", func() bool { return system.PeerClosed(server) })
			failure = sidecartest.FailFirst(maxQueries-1, errno)
			if !states.PeerClosed(server) {
				t.Error("a client that has gone is taken for one that is there")
			}
		})
	}
}

// A call is repeated for maxCallTime at most.
func TestRetryCall_timeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		err := RetryCall(func() error { return unix.ENOMEM })
		if took := time.Since(startedAt); !errors.Is(err, unix.ENOMEM) || took < maxCallTime || took > maxCallTime+maxCallPause {
			t.Errorf("%v after %v", err, took)
		}
	})
}
