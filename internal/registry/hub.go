package registry

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
)

// hub passes changes on to watchers. Each change is encoded once, as the line that all watchers write; the lines are
// linked, and a watcher walks along them at its own pace. A slow one holds nobody back: what it has not written yet
// is kept by its place in the chain alone, and it is ended once it is mostBehind lines behind or does not take a line
// within its time. It comes back with the revision it has.
//
// The way not taken: a queue for each watcher, which costs memory for every one and a copy of every change.
type hub struct {
	mu    sync.Mutex
	state *State
	tail  *line
	told  int64 // the revision up to which lines are linked
	all   *line // the whole list as of its revision, encoded once for all who ask; nil: not yet
	lines atomic.Int64
}

// line is one encoded change. next is set before ready is closed.
type line struct {
	rev   int64
	n     int64 // its place in the chain
	text  []byte
	next  *line
	ready chan struct{}
}

// mostBehind is how many lines a watcher may lag.
const mostBehind = 1000

func newHub(keep int) *hub {
	h := &hub{state: NewState(keep)}
	h.tail = &line{ready: make(chan struct{})}
	return h
}

func encode(l List) ([]byte, error) {
	text, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("registry: encode the list: %w", err)
	}
	return append(text, '\n'), nil
}

// read calls f with the state, which f must not keep.
func (h *hub) read(f func(*State)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.state)
}

// replace puts another state in place, after a restore. Watchers get the whole of it.
func (h *hub) replace(s *State) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state, h.all = s, nil
	return h.link(s.All())
}

// publish links one line for all that has changed since the last one: a burst costs one line.
func (h *hub) publish() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.Rev() == h.told {
		return nil
	}
	return h.link(h.state.Since(h.told))
}

// link appends a line; h.mu is held.
func (h *hub) link(l List) error {
	text, err := encode(l)
	if err != nil {
		return err
	}
	next := &line{rev: l.Rev, n: h.tail.n + 1, text: text, ready: make(chan struct{})}
	h.tail.next = next
	close(h.tail.ready)
	h.tail, h.told = next, l.Rev
	h.lines.Store(next.n)
	return nil
}

// encodeSince encodes anew what changed after one revision up to another.
func (h *hub) encodeSince(after, upTo int64) ([]byte, error) {
	h.mu.Lock()
	l := h.state.Since(after)
	h.mu.Unlock()
	l.Rev = max(upTo, after) // what came later comes with a later line again
	return encode(l)
}

// whole is the whole list, encoded once for each revision.
func (h *hub) whole() (*line, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wholeLocked()
}

func (h *hub) wholeLocked() (*line, error) {
	if h.all != nil && h.all.rev == h.state.Rev() {
		return h.all, nil
	}
	text, err := encode(h.state.All())
	if err != nil {
		return nil, err
	}
	h.all = &line{rev: h.state.Rev(), text: text}
	return h.all, nil
}

// join gives what a watcher has to be told first, and the place from which it walks on. Both belong to one moment,
// so that nothing is skipped between them.
func (h *hub) join(after int64) (first []byte, at *line, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// What is not linked yet comes with a later line as well; an entry told twice as it is does no harm, but a
	// revision would be seen twice. So the first line ends where the chain does.
	if h.state.Rev() != h.told {
		if err := h.link(h.state.Since(h.told)); err != nil {
			return nil, nil, err
		}
	}
	l := h.state.Since(after)
	switch {
	case l.All:
		w, err := h.wholeLocked()
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
