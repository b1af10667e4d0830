// Package explore is a small explicit-state model checker: it visits each state that a model can reach and finds the
// first one that violates an invariant, with the events that lead to it. For a model that is small enough to be visited
// completely this proves the invariant for all interleavings of its events.
//
// States are identified by a hash of 128 bits of their keys, so that memory grows by some tens of bytes per state, and
// two states with the same key are visited once.
package explore

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// World is a state of the model. It must not change after it was passed to an exploration.
type World interface {
	// Key holds everything that Check and later states depend on. Of two states with the same key the second is skipped.
	Key() []byte
	// Check returns the invariant that the state violates, or nil.
	Check() error
	// Next calls emit for each possible next state, with the event that leads to it.
	Next(emit func(event string, w World))
}

// Options bound and order an exploration.
type Options struct {
	// BreadthFirst visits the oldest state first, so that a trace is as short as possible. Otherwise the newest state is
	// visited first, which keeps few states in memory.
	BreadthFirst bool
	// MaxStates ends an exploration of more states with ErrTooManyStates; 0: no bound.
	MaxStates int
}

// ErrTooManyStates says that the model has more states than Options.MaxStates. Those visited violate no invariant.
var ErrTooManyStates = errors.New("explore: there are more states")

// Violation is a state that violates an invariant.
type Violation struct {
	Trace []string // events that lead from the first state to this one
	Err   error    // what Check returned
}

// Error implements error.
func (v *Violation) Error() string {
	return strings.Join(append(slices.Clone(v.Trace), v.Err.Error()), ": ")
}

// Unwrap returns what Check returned.
func (v *Violation) Unwrap() error { return v.Err }

// node is a state that was reached. Its world is released once it was visited; its predecessors stay, for the trace.
type node struct {
	world       World
	event       string
	predecessor *node
}

// stateKey identifies a state: the first 128 bits of a hash of World.Key.
type stateKey [16]byte

// explorer is one exploration.
type explorer struct {
	options     Options
	visitedKeys map[stateKey]struct{}
	pending     []*node
	truncated   bool // states were left out, as there are more than MaxStates
}

// Run visits each state that can be reached from the first. It returns the number of states that it knows, which is the
// number of all states if there is no error. The error is a *Violation or ErrTooManyStates.
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

// add notes a state to be visited, unless it is known or the bound is reached.
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

// takeNext removes the state to visit next.
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

func (n *node) violation(err error) *Violation {
	v := &Violation{Err: err}
	for ; n.predecessor != nil; n = n.predecessor {
		v.Trace = append(v.Trace, n.event)
	}
	slices.Reverse(v.Trace)
	return v
}
