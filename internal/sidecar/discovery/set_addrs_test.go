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

// heldDial holds up the first dial until it is released, and reports that it waits.
func heldDial(client *Client) (waits chan struct{}, release chan struct{}) {
	transport := client.http.Transport.(*http.Transport)
	dial := transport.DialContext
	waits, release = make(chan struct{}), make(chan struct{})
	var held atomic.Bool
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if held.CompareAndSwap(false, true) {
			close(waits)
			<-release
		}
		return dial(ctx, network, addr)
	}
	return waits, release
}

// The address changes between the moment at which a call has read the old one and the one at which its connection is up, and
// again before the answer. The call goes on at the new address at once and posts what is there, once.
func TestSetAddrs_duringCallStart(t *testing.T) {
	begin := map[string]func(context.Context, *Client){
		"polled": func(ctx context.Context, client *Client) { client.Watch(ctx, 0) },
		"pushed": func(ctx context.Context, client *Client) { client.Subscribe(ctx) },
	}
	for mode, watch := range begin {
		t.Run(mode, func(t *testing.T) {
			before, after := sidecartest.NewDrainedDiscovery(t), sidecartest.NewDrainedDiscovery(t)
			client, events := newTestClient(t, before.Addr())
			client.timeouts.PushedDelay = time.Hour // one call at a time
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			waits, release := heldDial(client)
			watch(ctx, client)
			sidecartest.Receive(t, "the connection to begin", waits)
			client.SetAddrs([]string{after.Addr()})
			first := sidecartest.Receive(t, "the call at the new address", after.Calls)
			close(release) // the old connection comes up only now
			client.SetAddrs([]string{before.Addr()})
			sidecartest.Receive(t, "the call before its answer to end", first.Cancelled)
			second := sidecartest.Receive(t, "the call back at the first address", before.Calls)
			second.SendList(t, endpointlist.List{Rev: 7})
			if n := sidecartest.Receive(t, "its list", events); n.Kind != balance.ListDelta || n.List.Rev != 7 {
				t.Errorf("%+v", n)
			}
			if len(events) > 0 {
				t.Errorf("another event: %+v", <-events)
			}
		})
	}
}

// An error in a line is reported with its key.
func TestCall_malformedLineNamesKey(t *testing.T) {
	for text, want := range map[string]string{
		`{"rev": "x"}`: "list: rev: a string", `{"rev": 1, "targets": [{"boot_ms": "now"}]}`: "list: targets.boot_ms: a string", `}`: "list: byte 1: ",
	} {
		client, events := clientOf(t, text)
		err := (&call{client: client, kind: watchCall, claim: unclaimed, firstTimeout: time.Hour, nextTimeout: time.Hour}).run(t.Context())
		if err == nil || !strings.Contains(err.Error(), want) || len(events) > 0 {
			t.Errorf("%s: error %v, want %q; %d events", text, err, want, len(events))
		}
	}
}
