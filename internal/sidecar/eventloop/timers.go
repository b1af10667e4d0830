package eventloop

import "container/heap"

// timer is a timer set by the balancer.
type timer struct {
	due   float64 // ms
	token uint64
}

// timerHeap is a min-heap of timers by due time.
type timerHeap []timer

// add adds a timer.
func (h *timerHeap) add(t timer) { heap.Push(h, t) }

// popDue removes the timers that are due and returns them, the earliest first.
func (h *timerHeap) popDue(now float64) []timer {
	var due []timer
	for len(*h) > 0 && (*h)[0].due <= now {
		due = append(due, heap.Pop(h).(timer))
	}
	return due
}

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(v any) { *h = append(*h, v.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
