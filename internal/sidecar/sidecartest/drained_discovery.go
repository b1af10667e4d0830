package sidecartest

import (
	"encoding/json"
	"testing"

	"marblelane/internal/sidecar/endpointlist"
)

// NewDrainedDiscovery is a registry that is called more often than a test looks: what is left of the calls is taken at its end.
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

// RespondToAll answers each further call with a list, and leaves it open.
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
