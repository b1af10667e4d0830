package discovery

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"testing"

	"marblelane/balance"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/netcall"
	"marblelane/internal/sidecar/sidecartest"
)

// failingDials makes the first dials of a client, as many as times, fail with err.
func (c *Client) failingDials(times int32, err error) {
	transport := c.http.Transport.(*http.Transport)
	dial, fail := transport.DialContext, sidecartest.FailTimes(times, err)
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if err := fail(); err != nil {
			return nil, err
		}
		return dial(ctx, network, addr)
	}
}

// A call that fails with an error of this machine is retried soon and does not count as a failure of the list service.
// Any other error is one of the list service and is reported at once.
func TestErrno_callToListService(t *testing.T) {
	const failures = 3
	services := netcall.Errnos{syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET}
	for _, errno := range slices.Concat(netcall.LocalErrnos, services) {
		t.Run(errno.Error(), func(t *testing.T) {
			r := sidecartest.NewFakeDiscovery(t)
			client, events := newTestClient(t, r.Addr())
			client.failingDials(failures, sidecartest.OpError("connect", errno))
			client.Watch(t.Context(), 0)
			if slices.Contains(services, errno) {
				if n := sidecartest.Receive(t, "the failure", events); n.Kind != balance.ListFailed {
					t.Errorf("got %+v, want a failure of the list service", n)
				}
				return
			}
			sidecartest.Receive(t, "the call", r.Calls).SendList(t, endpointlist.List{Rev: 7})
			if n := sidecartest.Receive(t, "the list", events); n.Kind != balance.ListDelta || n.List.Rev != 7 {
				t.Errorf("got %+v, want only the list", n)
			}
		})
	}
}

// A call to an agent that pushes lists is retried after an error of this machine.
func TestErrno_callToAgent(t *testing.T) {
	for _, errno := range netcall.LocalErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			r := sidecartest.NewFakeDiscovery(t)
			client, events := newTestClient(t, r.Addr())
			client.timeouts.PushedDelay = minPushedDelay
			client.failingDials(3, sidecartest.OpError("connect", errno))
			ctx, cancel := context.WithCancel(t.Context())
			t.Cleanup(cancel)
			client.Subscribe(ctx)
			sidecartest.Receive(t, "the call", r.Calls).SendList(t, endpointlist.List{Rev: 7})
			if n := sidecartest.Receive(t, "the list", events); n.Kind != balance.ListDelta || n.List.Rev != 7 {
				t.Errorf("got %+v, want only the list", n)
			}
		})
	}
}

// One read fails at each byte of a list in turn. After a temporary error the list is read completely. After any other
// error no list is posted.
func TestReadErrno_atEveryByteOfList(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 24\r\nConnection: close\r\n\r\n{\"rev\": 7, \"all\": true}\n"
	for errno, complete := range map[syscall.Errno]bool{syscall.ECONNRESET: false, syscall.ENOMEM: true} {
		t.Run(errno.Error(), func(t *testing.T) {
			b := sidecartest.NewBackend(t, "a", sidecartest.Respond(text, false))
			for n := range len(text) - 1 { // after the last byte of the list only the end of the line follows
				client, events := newTestClient(t, b.Target.Endpoint)
				transport := client.http.Transport.(*http.Transport)
				var dialer net.Dialer
				transport.DialContext = dialReporting(func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := dialer.DialContext(ctx, network, addr)
					if err != nil {
						return nil, err
					}
					fail := sidecartest.FailNth(int32(n+1), sidecartest.OpError("read", errno))
					return &sidecartest.FaultyConn{TCPConn: c.(*net.TCPConn), ByteAtATime: true, FailRead: fail}, nil
				})
				err := (&call{client: client, kind: fetchCall, claim: unclaimed, firstTimeout: sidecartest.WaitTimeout, nextTimeout: sidecartest.WaitTimeout}).run(t.Context())
				if got := len(events) == 1 && (<-events).List.Rev == 7 && errors.Is(err, io.EOF); got != complete {
					t.Errorf("error at byte %d: list posted: %v, call ended with %v", n, got, err)
				}
			}
		})
	}
}
