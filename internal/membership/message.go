package membership

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"marblelane/internal/membership/roster"
)

// messageVersion is the version of the messages that processes send in the library's user messages and push/pull. Fields
// that a newer program adds are ignored; a change that older ones would misunderstand raises the version.
const messageVersion = 1

// kind is the kind of a message. The texts are part of the wire form.
type kind string

const (
	kindEntries    kind = "entries" // entries of the sender's roster
	kindAckRequest kind = "ask"     // a joining process's own entry, to be acknowledged
	kindAck        kind = "ack"     // the answer of a process that knows it, with its digest
)

// Bounds of a message. A push/pull may carry all entries of a large roster.
const (
	maxMessage = 2 << 20 // bytes
	maxEntries = 8192
)

// message is what processes send to each other, in JSON.
type message struct {
	Version int         `json:"v"`
	Kind    kind        `json:"k"`
	Entries []wireEntry `json:"e,omitempty"`
	By      processID   `json:"b,omitzero"` // the sender of an acknowledgement or its request
	To      processID   `json:"t,omitzero"` // the process that is acknowledged
	Digest  uint64      `json:"d,omitempty"`
}

// processID is roster.ID on the wire.
type processID struct {
	Name  string `json:"n"`
	Start int64  `json:"s"`
}

// wireEntry is roster.Entry on the wire.
type wireEntry struct {
	Name  string `json:"n"`
	Start int64  `json:"s"`
	Gone  int64  `json:"g,omitempty"`
	Proof uint8  `json:"p,omitempty"`
	Addr  string `json:"a,omitempty"`

	Observer bool `json:"o,omitempty"`
}

func encodeEntries(k kind, entries ...roster.Entry) message {
	m := message{Version: messageVersion, Kind: k, Entries: make([]wireEntry, len(entries))}
	for i, e := range entries {
		m.Entries[i] = wireEntry{e.Name, e.Start, e.GoneStart, uint8(e.Proof), e.Addr, e.Observer}
	}
	return m
}

// bytes encodes the message in the current version.
func (m message) bytes() []byte {
	m.Version = messageVersion
	b, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("encode a message: %v", err)) // no field of it can fail
	}
	return b
}

// decodeMessage decodes and checks a message, which may come from any sender. An unknown kind is no error, as a newer
// program may have more kinds.
func decodeMessage(b []byte, networks []netip.Prefix) (message, error) {
	var m message
	if len(b) > maxMessage {
		return m, fmt.Errorf("message of %d bytes is longer than %d", len(b), maxMessage)
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return message{}, fmt.Errorf("message: %w", err)
	}
	if m.Version != messageVersion {
		return message{}, fmt.Errorf("message of version %d, not %d", m.Version, messageVersion)
	}
	if len(m.Entries) > maxEntries {
		return message{}, fmt.Errorf("message of %d entries, more than %d", len(m.Entries), maxEntries)
	}
	for _, e := range m.Entries {
		if err := e.check(networks); err != nil {
			return message{}, fmt.Errorf("message: %w", err)
		}
	}
	if err := m.checkSender(); err != nil {
		return message{}, fmt.Errorf("message %s: %w", m.Kind, err)
	}
	return m, nil
}

// checkSender checks the processes that a message of its kind must name.
func (m message) checkSender() error {
	var ids []processID
	switch m.Kind {
	case kindAckRequest:
		ids = []processID{m.By}
	case kindAck:
		ids = []processID{m.By, m.To}
	}
	for _, id := range ids {
		if err := checkID(roster.ID(id)); err != nil {
			return err
		}
	}
	if m.Kind == kindAckRequest && !m.hasOwnEntry() {
		return fmt.Errorf("%s@%d does not say where it is", m.By.Name, m.By.Start)
	}
	return nil
}

// hasOwnEntry reports whether the message has one entry, which is its sender's and has an address.
func (m message) hasOwnEntry() bool {
	return len(m.Entries) == 1 && processID{m.Entries[0].Name, m.Entries[0].Start} == m.By && m.Entries[0].Addr != ""
}

func (e wireEntry) check(networks []netip.Prefix) error {
	if err := checkID(roster.ID{Name: e.Name, Start: e.Start}); err != nil {
		return err
	}
	if e.Gone < 0 || e.Gone >= maxStart || (e.Gone == 0) != (e.Proof == 0) {
		return fmt.Errorf("entry %q is gone at %d by proof %d", e.Name, e.Gone, e.Proof)
	}
	if e.Addr == "" {
		return nil
	}
	at, err := netip.ParseAddrPort(e.Addr)
	if err != nil || len(e.Addr) > maxAddr || at.Port() == 0 {
		return fmt.Errorf("entry %q: %q is no IP:PORT", e.Name, e.Addr)
	}
	return withEntryName(e.Name, checkCallable(networks, at.Addr()))
}

func withEntryName(name string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("entry %q: %w", name, err)
}

// roster returns the entries in the form of package roster.
func (m message) roster() []roster.Entry {
	out := make([]roster.Entry, len(m.Entries))
	for i, e := range m.Entries {
		out[i] = roster.Entry{Name: e.Name, Start: e.Start, GoneStart: e.Gone, Proof: roster.Proof(e.Proof), Addr: e.Addr,
			Observer: e.Observer}
	}
	return out
}

// weight is what a message counts for in a messageQueue.
func (m message) weight() int { return 1 + len(m.Entries) }
