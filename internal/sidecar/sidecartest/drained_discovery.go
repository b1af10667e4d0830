package sidecartest

import (
	"encoding/json"
	"testing"

	"marblelane/internal/sidecar/endpointlist"
)

// NewDrainedDiscovery starts a fake list service that may get more calls than the test receives. Calls that are left
// are received when the test ends, so that their handlers return.
func NewDrainedDiscovery(t *testing.T) *FakeDiscovery {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	r := NewFakeDiscovery(t)
	t.Cleanup(func() {
		go func() {
			for {
				select {
				case <-r.Calls:
				case <-done:
					return
				}
			}
		}()
	})
	return r
}

// RespondToAll answers each further call with a list, and keeps the response open.
func RespondToAll(t *testing.T, r *FakeDiscovery, l endpointlist.List) {
	text, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	ctx := t.Context()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case call := <-r.Calls:
				select {
				case call.Lines <- string(text):
				case <-call.Cancelled:
				}
			}
		}
	}()
}
