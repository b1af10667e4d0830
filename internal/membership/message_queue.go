package membership

import "sync"

// maxQueueWeight is the capacity of a queue, as the sum of its messages and their entries. It holds about four
// push/pulls with maxEntries each.
const maxQueueWeight = 4 * maxEntries

// messageQueue passes messages from the library's callbacks, which run under its locks and must not block, to the
// owner. When it is full, the oldest messages are dropped and counted. A later push/pull repeats their entries.
type messageQueue struct {
	maxWeight int

	mu      sync.Mutex
	items   []message
	weight  int
	dropped uint64 // total number of dropped messages
}

// push appends a message, and returns the number of messages that were dropped to make room for it.
func (q *messageQueue) push(m message) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	evicted := 0
	for len(q.items) > 0 && q.weight+m.weight() > q.maxWeight {
		q.weight -= q.items[0].weight()
		q.items[0] = message{}
		q.items = q.items[1:]
		evicted++
	}
	q.items = append(q.items, m)
	q.weight += m.weight()
	q.dropped += uint64(evicted)
	return evicted
}

// take removes and returns all messages, oldest first.
func (q *messageQueue) take() []message {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items, q.weight = nil, 0
	return items
}
