package listserver

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"

	"marblelane/internal/registry/state"
)

// Hub distributes changes of the list to watches. Each change is encoded once, as a line that all watches share. The
// lines form a linked list that each watch follows at its own pace, so a watch needs no queue. A watch is closed if it
// falls MaxWatcherLag lines behind or if writing a line to it takes longer than lineWriteTimeout. Its client then
// reconnects and resumes from its last revision.
type Hub struct {
	mu        sync.Mutex
	state     *state.State
	tail      *line
	linkedRev int64        // newest revision published to the linked list
	fullList  *line        // cached encoding of the full list; nil if there is none
	lines     atomic.Int64 // position of the newest line
}

// line is one encoded batch of changes. next is set before ready is closed.
type line struct {
	rev      int64  // revision of the list after the changes
	position int64  // position in the linked list
	text     []byte // JSON, ends with a newline
	next     *line
	ready    chan struct{}
}

// MaxWatcherLag is the number of lines that a watch may lag behind before it is closed.
const MaxWatcherLag = 1000

// NewHub returns a hub with an empty state that retains at least minHistory changes.
func NewHub(minHistory int) *Hub {
	h := &Hub{state: state.NewState(minHistory)}
	h.tail = &line{ready: make(chan struct{})}
	return h
}

// encode returns the list as one line of JSON.
func encode(l state.List) ([]byte, error) {
	text, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("registry: encode the list: %w", err)
	}
	return append(text, '\n'), nil
}

// Read calls f with the state while the hub is locked. f must not retain the state.
func (h *Hub) Read(f func(*state.State)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.state)
}

// Replace installs the state of a snapshot and publishes the full list to all watches.
func (h *Hub) Replace(s *state.State) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.fullList = s, nil
	return h.appendLine(s.All())
}

// Publish appends one line with all changes since the previous line.
func (h *Hub) Publish() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.Rev() == h.linkedRev {
		return nil
	}
	return h.appendLine(h.state.Since(h.linkedRev))
}

// appendLine encodes changes and appends them as a line. The caller holds h.mu.
func (h *Hub) appendLine(l state.List) error {
	text, err := encode(l)
	if err != nil {
		return err
	}
	next := &line{rev: l.Rev, position: h.tail.position + 1, text: text, ready: make(chan struct{})}
	h.tail.next = next
	close(h.tail.ready)
	h.tail, h.linkedRev = next, l.Rev
	h.lines.Store(next.position)
	return nil
}

// encodeSince encodes the changes after one revision up to another, without the shared line.
func (h *Hub) encodeSince(after, upTo int64) ([]byte, error) {
	h.mu.Lock()
	l := h.state.Since(after)
	h.mu.Unlock()
	l.Rev = max(upTo, after) // a later line repeats any changes after upTo
	return encode(l)
}

// fullLine returns the encoded full list. It is encoded once for each revision.
func (h *Hub) fullLine() (*line, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fullLineLocked()
}

// fullLineLocked is fullLine for callers that hold h.mu.
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

// subscribe returns the first text to send to a new watch, empty if its client is up to date, and the line after which
// the watch continues. Both are read under one lock, so that the watch misses no change.
func (h *Hub) subscribe(after int64) (first []byte, last *line, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Publish pending changes first: otherwise the first text would include changes that a later line repeats.
	if h.state.Rev() != h.linkedRev {
		if err := h.appendLine(h.state.Since(h.linkedRev)); err != nil {
			return nil, nil, err
		}
	}
	l := h.state.Since(after)
	switch {
	case l.All:
		full, err := h.fullLineLocked()
		if err != nil {
			return nil, nil, err
		}
		first = full.text
	case len(l.Targets) > 0:
		if first, err = encode(l); err != nil {
			return nil, nil, err
		}
	}
	return first, h.tail, nil
}
