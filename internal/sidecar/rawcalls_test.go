package sidecar

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// failFirst gives an error so often, and then none.
func failFirst(times int, err error) func() error {
	return func() error {
		if times == 0 {
			return nil
		}
		times--
		return err
	}
}

// resourceErrnos are of calls that the system is short of resources for, or that a signal has interrupted.
var resourceErrnos = []syscall.Errno{unix.EINTR, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM}

// While the length of a queue cannot be had, or only for a moment, nobody who waits in it is taken for nobody.
func TestQueueThatCannotBeAsked(t *testing.T) {
	failing := func(errno syscall.Errno) func(int) (*unix.TCPInfo, error) {
		return func(int) (*unix.TCPInfo, error) { return nil, errno }
	}
	noPoll := func([]unix.PollFd, int) (int, error) { return 0, unix.ENOMEM }
	once := func(errno syscall.Errno) func(int) (*unix.TCPInfo, error) {
		failure := failFirst(1, errno)
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
		"asked":             {systemQueue, 0, 2, 0},
		"unknown call":      {listenQueue{failing(unix.ENOPROTOOPT), unix.Poll}, 0, 1, 0},
		"neither call":      {listenQueue{failing(unix.EPERM), noPoll}, 1, 1, 0},
		"of something else": {listenQueue{func(int) (*unix.TCPInfo, error) { return &unix.TCPInfo{}, nil }, noPoll}, 0, 0, 0},
	}
	for _, errno := range resourceErrnos {
		tests["once "+unix.ErrnoName(errno)] = test{listenQueue{once(errno), noPoll}, 0, 2, 0}
		tests["always "+unix.ErrnoName(errno)] = test{listenQueue{failing(errno), unix.Poll}, 0, 1, 0}
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", loopback)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			tcp := l.(*net.TCPListener)
			if got := test.queue.waiting(tcp); got != test.empty {
				t.Errorf("nobody waits: %d, want %d", got, test.empty)
			}
			for range 2 {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
			}
			until(t, "two that wait", func() bool { return systemQueue.waiting(tcp) == 2 })
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

// An end behind unread bytes is seen though the first query of the connection's state fails.
func TestPeerGoneThoughAQueryFails(t *testing.T) {
	for _, errno := range resourceErrnos {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			failure := func() error { return nil }
			states := &connStates{tcpState: func(fd int) (uint8, error) {
				if err := failure(); err != nil {
					return 0, err
				}
				return tcpState(fd)
			}}
			client, server := tcpPair(t)
			states.learn(server)
			if _, err := io.WriteString(client, "x"); err != nil {
				t.Fatal(err)
			}
			client.Close()
			until(t, "the end to arrive", func() bool { return systemStates.peerGone(server) })
			failure = failFirst(queryTries-1, errno)
			if !states.peerGone(server) {
				t.Error("a client that has gone is taken for one that is there")
			}
		})
	}
}

// Bytes of a client that cannot be read for a moment are read and answered later.
func TestReadThatFailsForAMoment(t *testing.T) {
	for _, errno := range []syscall.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			var failures atomic.Int64
			s := start(t, newConf(newRegistry(t).addr(), newBackend(t, "a", ok).target), func(s *Sidecar) {
				s.listener.read = func(fd int, p []byte) (int, error) {
					if failures.Add(1) <= 3 {
						return 0, errno
					}
					return syscall.Read(fd, p)
				}
			})
			if got := s.do(s.request("charge", patience)); got.status != 200 {
				t.Errorf("%+v", got)
			}
		})
	}
}

// What does not heal, and a deadline, end a read at once.
func TestReadThatFailsForGood(t *testing.T) {
	r, client, g := accepted(t, 1)
	tried := 0
	r.read = func(int, []byte) (int, error) {
		tried++
		return 0, unix.ECONNRESET
	}
	if _, err := io.WriteString(client, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := g.Read(make([]byte, 1)); !errors.Is(err, unix.ECONNRESET) || tried != 1 {
		t.Errorf("%v after %d reads", err, tried)
	}
}

func TestReadEndsAtItsDeadline(t *testing.T) {
	r, _, g := accepted(t, 1)
	var tried int
	r.read = func(fd int, p []byte) (int, error) {
		tried++
		return syscall.Read(fd, p)
	}
	if err := g.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	var late net.Error
	if _, err := g.Read(make([]byte, 1)); !errors.As(err, &late) || !late.Timeout() || tried != 1 {
		t.Errorf("%v after %d reads", err, tried)
	}
}

// A call is repeated for callLimit at most.
func TestRepeatedCallEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		err := repeatCall(func() error { return unix.ENOMEM })
		if took := time.Since(began); !errors.Is(err, unix.ENOMEM) || took < callLimit || took > callLimit+longestCallPause {
			t.Errorf("%v after %v", err, took)
		}
	})
}

// failingConn fails a few times on each side before it works.
type failingConn struct {
	net.Conn
	failure func() error
}

func (c failingConn) Read(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c failingConn) Write(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Words between two processes at an upgrade outlast calls that fail for a moment.
func TestWordsOutlastFailures(t *testing.T) {
	for _, errno := range resourceErrnos {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			one, other := net.Pipe()
			go func() {
				patientConn{failingConn{one, failFirst(3, errno)}}.Write([]byte{servesNow})
				one.Close()
			}()
			words, err := io.ReadAll(patientConn{failingConn{other, failFirst(3, errno)}})
			if err != nil || string(words) != string(servesNow) {
				t.Errorf("%q, %v", words, err)
			}
		})
	}
}

// A message whose descriptor the system has cut off, as where none is left, is asked for again; one without is not.
func TestHandedListenerThatDidNotCome(t *testing.T) {
	if _, err := handedListener(nil, unix.MSG_CTRUNC); !errors.Is(err, errNotHanded) || !errors.Is(err, unix.EMFILE) {
		t.Errorf("cut off: %v", err)
	}
	whole := unix.UnixRights(0)
	for name, rights := range map[string][]byte{"nothing": nil, "half": whole[:len(whole)/2], "two": unix.UnixRights(0, 0)} {
		_, err := handedListener(rights, 0)
		if !errors.Is(err, errNotHanded) || errors.Is(err, unix.EMFILE) || strings.Contains(err.Error(), "cut off") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
