package balance

import (
	"fmt"
	"testing"
)

// A server that drops without a word what it cannot answer in the time that is left is not held at fault: it is
// neither rested nor weighed less, and each request gets one answer after one attempt at most.
func TestEjection_shortTimeout(t *testing.T) {
	for class, name := range map[int]string{safeClass: "safe", unsafeClass: "unsafe", allClass: "keyed"} {
		for _, left := range []float64{1, 2, 5, 10, 20} {
			t.Run(fmt.Sprint(name, ", ", left, " ms"), func(t *testing.T) {
				g := newRig(t, baseConfig(), fleet(4)...)
				for range 100 { // answers take 60 ms
					id, _ := g.ask(class)
					g.now += 60
					g.answer(id, 0, OK, 60)
				}
				for range 20 {
					g.next++
					id := g.next
					acts := g.do(Request{ID: id, Class: class, Remaining: left})
					if _, sent := sentTo(acts); !sent {
						continue // refused: there is no time for it
					}
					g.now += left
					acts = g.do(Timer{Token: uint64(id)})
					if !has(acts, Fail) && !has(acts, Reject) {
						t.Fatalf("%v ms: no answer at the deadline: %+v", left, acts)
					}
					if has(acts, Send) {
						t.Errorf("%v ms: a second attempt", left)
					}
					g.answer(id, 0, TimedOut, left)
					g.now += 50
				}
				for _, s := range g.b.servers {
					if s.consecutiveErrors > 0 || s.ejections > 0 || g.b.ejected(s) || g.b.health(s) < 1 {
						t.Errorf("%v ms: server %d is held at fault: %d errors, %d rests", left, s.ID, s.consecutiveErrors, s.ejections)
					}
				}
			})
		}
	}
}

// A server that has had the time that answers take, and is silent, is at fault as before.
func TestEjection_timeoutBeyondMean(t *testing.T) {
	g := newRig(t, baseConfig(), fleet(4)...)
	for range 100 {
		id, _ := g.ask(safeClass)
		g.now += 60
		g.answer(id, 0, OK, 60)
	}
	g.next++
	g.do(Request{ID: g.next, Class: safeClass, Remaining: 61})
	g.now += 61
	g.do(Timer{Token: uint64(g.next)})
	s := g.b.reqs[g.next].attempts[0].server
	g.answer(g.next, 0, TimedOut, 61)
	if s.consecutiveErrors != 1 {
		t.Errorf("%d errors, want 1", s.consecutiveErrors)
	}
}
