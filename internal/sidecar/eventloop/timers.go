package eventloop

import "container/heap"

// timer is a timer that the balancer has set.
type timer struct {
	due   float64 // ms
	token uint64
}

// timerHeap holds timers, the earliest first.
type timerHeap []timer

// add adds a timer.
func (h *timerHeap) add(t timer) { heap.Push(h, t) }

// popDue removes the timers that are due and gives them in order.
func (h *timerHeap) popDue(now float64) []timer {
	var due []timer
	for len(*h) > 0 && (*h)[0].due <= now {
		due = append(due, heap.Pop(h).(timer))
	}
	return due
}

// Len is part of heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }

// Swap is part of heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *timerHeap) Push(v any) { *h = append(*h, v.(timer)) }

// Pop is part of heap.Interface.
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
