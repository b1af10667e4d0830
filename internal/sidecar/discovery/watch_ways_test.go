package discovery

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marblelane/balance"
	"marblelane/internal/sidecar/endpointlist"
	"marblelane/internal/sidecar/sidecartest"
)

// heldDial lets the first connection wait until it is released, and says that it waits.
func heldDial(d *Client) (waits chan struct{}, release chan struct{}) {
	transport := d.http.Transport.(*http.Transport)
	dial := transport.DialContext
	waits, release = make(chan struct{}), make(chan struct{})
	var begun atomic.Bool
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if begun.CompareAndSwap(false, true) {
			close(waits)
			<-release
		}
		return dial(ctx, network, addr)
	}
	return waits, release
}

// A move between the moment at which a call has taken the old address and the one at which its connection is up, and one
// after that, before any answer: the call goes on at the new address at once and tells what is there, once.
func TestMoveUnderACallThatBegins(t *testing.T) {
	begin := map[string]func(context.Context, *Client){
		"asked":  func(ctx context.Context, d *Client) { d.Watch(ctx, 0) },
		"pushed": func(ctx context.Context, d *Client) { d.Subscribe(ctx) },
	}
	for mode, watch := range begin {
		t.Run(mode, func(t *testing.T) {
			before, after := sidecartest.NewAgent(t), sidecartest.NewAgent(t)
			d, heard := hearing(t, before.Addr())
			d.timeouts.PushedDelay = time.Hour // one call at a time
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			waits, release := heldDial(d)
			watch(ctx, d)
			sidecartest.Receive(t, "the connection to begin", waits)
			d.SetAddrs([]string{after.Addr()})
			first := sidecartest.Receive(t, "the call at the new address", after.Calls)
			close(release) // the old connection comes up only now
			d.SetAddrs([]string{before.Addr()})
			sidecartest.Receive(t, "the call before its answer to end", first.Gone)
			second := sidecartest.Receive(t, "the call back at the first address", before.Calls)
			second.Send(t, endpointlist.List{Rev: 7})
			if n := sidecartest.Receive(t, "what is there", heard); n.Kind != balance.ListDelta || n.List.Rev != 7 {
				t.Errorf("%+v", n)
			}
			if len(heard) > 0 {
				t.Errorf("something else is heard: %+v", <-heard)
			}
		})
	}
}

// What is wrong in a line is told by its key.
func TestMalformedLineIsNamed(t *testing.T) {
	for text, want := range map[string]string{
		`{"rev": "x"}`: "list: rev: a string", `{"rev": 1, "targets": [{"boot_ms": "now"}]}`: "list: targets.boot_ms: a string", `}`: "list: byte 1: ",
	} {
		d, heard := serving(t, text)
		err := (&call{client: d, kind: watchCall, claim: unclaimed, firstTimeout: time.Hour, nextTimeout: time.Hour}).run(t.Context())
		if err == nil || !strings.Contains(err.Error(), want) || len(heard) > 0 {
			t.Errorf("%s: error %v, want %q; %d heard", text, err, want, len(heard))
		}
	}
}
