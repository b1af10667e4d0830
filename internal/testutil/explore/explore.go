// Package explore is a small explicit-state model checker. It visits all reachable states of a model until it finds one
// that violates an invariant, and reports the events that lead to that state. If it visits all states of a model and
// finds no violation, the invariant holds for all interleavings of the model's events.
//
// States are identified by a 128-bit hash of their keys, so that each visited state takes only some tens of bytes of
// memory. States with equal keys are visited once.
package explore

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// World is a state of the model. It must not change after it was passed to Run or emitted by Next.
type World interface {
	// Key returns an encoding of all data that Check and Next depend on. A state is skipped if a state with the same
	// key was found before.
	Key() []byte
	// Check returns the invariant that the state violates, or nil.
	Check() error
	// Next calls emit for each possible successor state, with the event that leads to it.
	Next(emit func(event string, w World))
}

// Options set the order and the limit of an exploration.
type Options struct {
	// BreadthFirst visits states in breadth-first order, so that the trace of a violation is as short as possible. The
	// default is depth-first order, which keeps few states in memory.
	BreadthFirst bool
	// MaxStates is the maximum number of states to visit. Run returns ErrTooManyStates if there are more. 0 means no
	// limit.
	MaxStates int
}

// ErrTooManyStates is returned if the model has more states than Options.MaxStates. The visited states violate no
// invariant.
var ErrTooManyStates = errors.New("explore: the model has more states")

// Violation is a state that violates an invariant.
type Violation struct {
	Trace []string // events from the first state to this one, oldest first
	Err   error    // error that Check returned
}

// Error returns the events of the trace followed by the error that Check returned.
func (v *Violation) Error() string {
	return strings.Join(append(slices.Clone(v.Trace), v.Err.Error()), ": ")
}

// Unwrap returns the error that Check returned.
func (v *Violation) Unwrap() error { return v.Err }

// node is a reached state. Its world is released after the visit. Its predecessors are kept for the trace.
type node struct {
	world       World  // World in this state; nil after the visit
	event       string // event that leads from the predecessor to this state
	predecessor *node  // nil for the first state
}

// stateKey identifies a state. It is the first 128 bits of the SHA-256 hash of World.Key.
type stateKey [16]byte

// explorer holds the state of an exploration.
type explorer struct {
	options     Options
	visitedKeys map[stateKey]struct{}
	pending     []*node // states to visit, oldest first
	truncated   bool    // states were skipped because there are more than MaxStates
}

// Run visits all states that can be reached from the first state. It returns the number of distinct states that it
// found, which is the number of all reachable states if there is no error. The error is a *Violation or wraps
// ErrTooManyStates.
func Run(first World, options Options) (states int, err error) {
	e := &explorer{options: options, visitedKeys: map[stateKey]struct{}{}}
	e.add(&node{world: first})
	for len(e.pending) > 0 {
		current := e.takeNext()
		if err := current.world.Check(); err != nil {
			return len(e.visitedKeys), current.violation(err)
		}
		current.world.Next(func(event string, w World) { e.add(&node{w, event, current}) })
		current.world = nil
	}
	if e.truncated {
		return len(e.visitedKeys), fmt.Errorf("%w than %d", ErrTooManyStates, options.MaxStates)
	}
	return len(e.visitedKeys), nil
}

// add schedules a state for a visit, unless its key was added before or the limit is reached.
func (e *explorer) add(n *node) {
	sum := sha256.Sum256(n.world.Key())
	key := stateKey(sum[:len(stateKey{})])
	if _, exists := e.visitedKeys[key]; exists {
		return
	}
	e.truncated = e.truncated || e.options.MaxStates > 0 && len(e.visitedKeys) >= e.options.MaxStates
	if e.truncated {
		return
	}
	e.visitedKeys[key] = struct{}{}
	e.pending = append(e.pending, n)
}

// takeNext removes and returns the state to visit next.
func (e *explorer) takeNext() *node {
	if e.options.BreadthFirst {
		oldest := e.pending[0]
		e.pending = e.pending[1:]
		return oldest
	}
	last := len(e.pending) - 1
	newest := e.pending[last]
	e.pending = e.pending[:last]
	return newest
}

// violation returns the violation of an invariant in a state, with the trace that leads to the state.
func (n *node) violation(err error) *Violation {
	v := &Violation{Err: err}
	for ; n.predecessor != nil; n = n.predecessor {
		v.Trace = append(v.Trace, n.event)
	}
	slices.Reverse(v.Trace)
	return v
}
