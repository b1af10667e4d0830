package agent

import (
	"fmt"
	"time"

	"marblelane/internal/lab/relay"
)

// WatchForm defines how an agent delivers lists and changes. The zero value delivers each change immediately, in one
// write.
type WatchForm struct {
	EndOnChange   bool // a watch ends cleanly instead of delivering a change
	CompleteFirst bool // the first list of each response is complete, but omits draining servers
	PieceBytes    int  // bytes per write; 0: a whole list in one write
}

// pieceInterval is the pause between the writes of two pieces.
const pieceInterval = 2 * time.Millisecond

// firstResponse returns the first list of a response to a request for the changes after a revision. The caller holds
// state.mu.
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

// writeLine writes a line of a watch, in one HTTP chunk per piece.
func (state *agentState) writeLine(c *relay.Conn, line string) error {
	return state.writePieces(c, line, func(piece string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece) })
}

// writePieces writes a text in pieces of PieceBytes. It writes the result of frame for each piece.
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
