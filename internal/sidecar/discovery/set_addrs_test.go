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

// heldDial blocks the first dial of a client until release is closed. It closes waits when that dial begins.
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

// The address changes after a call has read the old one and before its connection is established, and changes again
// before the response. Each time the call must continue at the new address at once. The list is posted once.
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
			sidecartest.Receive(t, "the start of the dial", waits)
			client.SetAddrs([]string{after.Addr()})
			first := sidecartest.Receive(t, "the call at the new address", after.Calls)
			close(release) // the old connection is established only now
			client.SetAddrs([]string{before.Addr()})
			sidecartest.Receive(t, "the end of the call without a response", first.Cancelled)
			second := sidecartest.Receive(t, "the call back at the first address", before.Calls)
			second.SendList(t, endpointlist.List{Rev: 7})
			if n := sidecartest.Receive(t, "its list", events); n.Kind != balance.ListDelta || n.List.Rev != 7 {
				t.Errorf("%+v", n)
			}
			if len(events) > 0 {
				t.Errorf("unexpected further event: %+v", <-events)
			}
		})
	}
}

// The error for a malformed list names the key of the wrong value.
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
