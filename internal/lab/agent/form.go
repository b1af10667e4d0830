package agent

import (
	"fmt"
	"time"

	"marblelane/internal/lab/relay"
)

// Form is how an agent tells what it tells. The zero value tells each change as it comes, in one piece.
type Form struct {
	Ends   bool // a watch ends in place of telling a change
	Whole  bool // the first answer to a call is the whole list, without the servers that drain
	Pieces int  // bytes that are written at a time; 0: all at once
}

// pieceEvery is how long after one piece of a line the next one comes.
const pieceEvery = 2 * time.Millisecond

// first gives the first answer to a call that has what came after a revision. v.mu is held.
func (a *Agents) first(v *view, after int64) List {
	if !v.form.Whole {
		return a.since(v, after)
	}
	l := a.since(v, -1)
	l.leavesOut = true
	kept := l.Targets[:0]
	for _, e := range l.Targets {
		if e.State != Terminating {
			kept = append(kept, e)
		}
	}
	l.Targets = kept
	return l
}

// end ends a watch in order in place of telling a change. What the agent has counts as told.
func (a *Agents) end(v *view, c *relay.Conn, l List) error {
	a.told(v, l)
	if err := write(c, "0\r\n\r\n"); err != nil {
		return err
	}
	return errGone
}

// writeLine writes a line of a watch, in one chunk or in several.
func (v *view) writeLine(c *relay.Conn, line string) error {
	return v.writePieces(c, line, func(piece string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece) })
}

// writePieces writes a text in pieces, each in its frame.
func (v *view) writePieces(c *relay.Conn, text string, frame func(string) string) error {
	v.mu.Lock()
	size := v.form.Pieces
	v.mu.Unlock()
	if size == 0 {
		size = len(text)
	}
	for len(text) > size {
		if err := write(c, frame(text[:size])); err != nil {
			return err
		}
		text = text[size:]
		time.Sleep(pieceEvery)
	}
	return write(c, frame(text))
}
