// Package explore visits each state that a small world can reach, and finds the first that breaks a promise, with the way
// there. A world that is small enough to be gone through proves what it is asked for all interleavings of what may
// happen in it, where runs by chance show it for those that came.
//
// States are told apart by a hash of 128 bits of their keys, so that memory grows by some tens of bytes with each state,
// and a state that is another one's twin is visited once.
package explore

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// World is a state of a world. It is not changed once it was given to an exploration.
type World interface {
	// Key is all that matters for what may come of the state, and for Check: of two states with one key the second is
	// passed over.
	Key() []byte
	// Check tells which promise is broken here; nil: none is.
	Check() error
	// Next calls emit for each state that may come next, with what happens on the way to it.
	Next(emit func(what string, w World))
}

// Options bound an exploration and give it an order.
type Options struct {
	// Shortest visits the oldest state first, so that no way to a breach is shorter than the one that is found. Otherwise
	// the newest is first, with which few states wait.
	Shortest bool
	Most     int // states, beyond which the exploration ends with ErrMost; 0: no bound
}

// ErrMost is that there are more states than an exploration may visit. What it has visited breaks no promise.
var ErrMost = errors.New("explore: there are more states")

// Breach is a state that breaks a promise.
type Breach struct {
	Trace []string // what happened on the way to it, from the first state on
	Err   error    // what Check said
}

func (b *Breach) Error() string {
	return strings.Join(append(slices.Clone(b.Trace), b.Err.Error()), ": ")
}

func (b *Breach) Unwrap() error { return b.Err }

// visited is a state that was reached; its world is dropped once it was looked at, and its way kept.
type visited struct {
	w      World
	what   string
	before *visited
}

// Run visits each state that can be reached from w. It tells how many states it knows of: of an exploration without an
// error that is how many there are. The error is a *Breach for the first state that breaks a promise, or ErrMost.
func Run(w World, o Options) (states int, err error) {
	seen := map[[16]byte]struct{}{}
	var todo []*visited
	full := false
	add := func(v *visited) {
		sum := sha256.Sum256(v.w.Key())
		key := [16]byte(sum[:16])
		if _, known := seen[key]; known {
			return
		}
		if full = full || o.Most > 0 && len(seen) >= o.Most; !full {
			seen[key] = struct{}{}
			todo = append(todo, v)
		}
	}
	add(&visited{w: w})
	for len(todo) > 0 {
		v := todo[len(todo)-1]
		if o.Shortest {
			v, todo = todo[0], todo[1:]
		} else {
			todo = todo[:len(todo)-1]
		}
		if err := v.w.Check(); err != nil {
			return len(seen), v.breach(err)
		}
		v.w.Next(func(what string, w World) { add(&visited{w, what, v}) })
		v.w = nil
	}
	if full {
		return len(seen), fmt.Errorf("%w than %d", ErrMost, o.Most)
	}
	return len(seen), nil
}

func (v *visited) breach(err error) *Breach {
	b := &Breach{Err: err}
	for ; v.before != nil; v = v.before {
		b.Trace = append(b.Trace, v.what)
	}
	slices.Reverse(b.Trace)
	return b
}

// Ints appends numbers to a key, so that no two lists of one length are written alike.
func Ints(key []byte, values ...int64) []byte {
	for _, v := range values {
		key = binary.AppendVarint(key, v)
	}
	return key
}

// Bit is a truth as a number of a key.
func Bit(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
