package listserver

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"marblelane/internal/registry/state"
)

// Hub distributes changes of the list to watches. Each change is encoded once, as a line shared by all watches, in a
// linked list that each watch follows at its own pace, without a queue of its own. A watch that falls MaxWatcherLag
// lines behind, or does not take a line within lineWriteTimeout, is closed; its client resumes from the revision it has.
type Hub struct {
	mu        sync.Mutex
	state     *state.State
	tail      *line
	linkedRev int64 // newest revision published to the linked list
	fullList  *line // cached encoding of the full list; nil: none
	lines     atomic.Int64
}

// line is one encoded change. next is set before ready is closed.
type line struct {
	rev   int64
	n     int64 // its position in the linked list
	text  []byte
	next  *line
	ready chan struct{}
}

// MaxWatcherLag is how many lines a watch may lag before it is closed.
const MaxWatcherLag = 1000

// NewHub makes a hub over an empty state that keeps at least so many changes.
func NewHub(keep int) *Hub {
	h := &Hub{state: state.NewState(keep)}
	h.tail = &line{ready: make(chan struct{})}
	return h
}

func encode(l state.List) ([]byte, error) {
	text, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("registry: encode the list: %w", err)
	}
	return append(text, '\n'), nil
}

// Read calls f with the state, which f must not keep.
func (h *Hub) Read(f func(*state.State)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.state)
}

// Replace installs the state of a snapshot and sends the full list to all watches.
func (h *Hub) Replace(s *state.State) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.fullList = s, nil
	return h.link(s.All())
}

// Publish appends one line with all changes since the last one.
func (h *Hub) Publish() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.Rev() == h.linkedRev {
		return nil
	}
	return h.link(h.state.ChangesSince(h.linkedRev))
}

// link appends a line; h.mu is held.
func (h *Hub) link(l state.List) error {
	text, err := encode(l)
	if err != nil {
		return err
	}
	next := &line{rev: l.Rev, n: h.tail.n + 1, text: text, ready: make(chan struct{})}
	h.tail.next = next
	close(h.tail.ready)
	h.tail, h.linkedRev = next, l.Rev
	h.lines.Store(next.n)
	return nil
}

// encodeSince encodes the changes after one revision up to another, without the cache.
func (h *Hub) encodeSince(after, upTo int64) ([]byte, error) {
	h.mu.Lock()
	l := h.state.ChangesSince(after)
	h.mu.Unlock()
	l.Rev = max(upTo, after) // later changes come again with a later line
	return encode(l)
}

// fullLine returns the full list, encoded once for each revision.
func (h *Hub) fullLine() (*line, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fullLineLocked()
}

func (h *Hub) fullLineLocked() (*line, error) {
	if h.fullList != nil && h.fullList.rev == h.state.Rev() {
		return h.fullList, nil
	}
	text, err := encode(h.state.All())
	if err != nil {
		return nil, err
	}
	h.fullList = &line{rev: h.state.Rev(), text: text}
	return h.fullList, nil
}

// subscribe returns the first line for a new watch and the list node from which it follows, taken atomically so that no
// change is skipped.
func (h *Hub) subscribe(after int64) (first []byte, at *line, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Publish pending changes first: otherwise the first line would include a revision that a later line repeats.
	if h.state.Rev() != h.linkedRev {
		if err := h.link(h.state.ChangesSince(h.linkedRev)); err != nil {
			return nil, nil, err
		}
	}
	l := h.state.ChangesSince(after)
	switch {
	case l.All:
		w, err := h.fullLineLocked()
		if err != nil {
			return nil, nil, err
		}
		first = w.text
	case len(l.Targets) > 0:
		if first, err = encode(l); err != nil {
			return nil, nil, err
		}
	}
	return first, h.tail, nil
}
