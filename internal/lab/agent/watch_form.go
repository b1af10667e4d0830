package agent

import (
	"fmt"
	"time"

	"marblelane/internal/lab/relay"
)

// WatchForm is how an agent delivers answers and changes. The zero value delivers each change immediately, in one piece.
type WatchForm struct {
	EndOnChange   bool // a watch ends instead of delivering a change
	CompleteFirst bool // the first answer to a call is the complete list without draining servers
	PieceBytes    int  // bytes per write; 0: everything in one write
}

// pieceInterval is the pause between two pieces.
const pieceInterval = 2 * time.Millisecond

// firstResponse returns the first answer to a call for the changes after a revision. v.mu is held.
func (a *Agents) firstResponse(state *agentState, after int64) List {
	if !state.watchForm.CompleteFirst {
		return a.changesSince(state, after)
	}
	l := a.changesSince(state, -1)
	l.omitsDraining = true
	remaining := l.Targets[:0]
	for _, e := range l.Targets {
		if e.State != Terminating {
			remaining = append(remaining, e)
		}
	}
	l.Targets = remaining
	return l
}

// endWatch ends a watch cleanly instead of delivering a change, and records the change as notified.
func (a *Agents) endWatch(state *agentState, c *relay.Conn, l List) error {
	a.recordNotified(state, l)
	if err := write(c, "0\r\n\r\n"); err != nil {
		return err
	}
	return errCallerDisconnected
}

// writeLine writes a line of a watch, in one chunk or in several.
func (state *agentState) writeLine(c *relay.Conn, line string) error {
	return state.writePieces(c, line, func(piece string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece) })
}

// writePieces writes a text in pieces of PieceBytes, each wrapped by frame.
func (state *agentState) writePieces(c *relay.Conn, text string, frame func(string) string) error {
	state.mu.Lock()
	size := state.watchForm.PieceBytes
	state.mu.Unlock()
	if size == 0 {
		size = len(text)
	}
	for len(text) > size {
		if err := write(c, frame(text[:size])); err != nil {
			return err
		}
		text = text[size:]
		time.Sleep(pieceInterval)
	}
	return write(c, frame(text))
}
