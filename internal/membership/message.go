package membership

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"marblelane/internal/membership/roster"
)

// messageVersion is the version of the messages that processes send in the library's user messages and push/pulls.
// Unknown fields of newer versions of the program are ignored. A change that older versions would misinterpret must
// raise messageVersion.
const messageVersion = 1

// kind is the kind of a message. The values are part of the wire format.
type kind string

const (
	kindEntries    kind = "entries" // entries of the sender's roster
	kindAckRequest kind = "ask"     // a joining process's own entry, sent to request an acknowledgement
	kindAck        kind = "ack"     // the response of a process that knows the joining one, with its digest
)

// Bounds of a message. They allow a push/pull to carry all entries of a large roster.
const (
	maxMessageBytes = 2 << 20
	maxEntries      = 8192
)

// message is a message between processes, encoded as JSON.
type message struct {
	Version      int         `json:"v"`
	Kind         kind        `json:"k"`
	Entries      []wireEntry `json:"e,omitempty"`
	Sender       processID   `json:"b,omitzero"` // the sender of an acknowledgement or of a request for one
	Acknowledged processID   `json:"t,omitzero"` // the process that is acknowledged
	Digest       uint64      `json:"d,omitempty"`
}

// processID is the wire format of roster.ID.
type processID struct {
	Name  string `json:"n"`
	Start int64  `json:"s"`
}

// wireEntry is the wire format of roster.Entry.
type wireEntry struct {
	Name  string `json:"n"`
	Start int64  `json:"s"`
	Gone  int64  `json:"g,omitempty"`
	Proof uint8  `json:"p,omitempty"`
	Addr  string `json:"a,omitempty"`

	Observer bool `json:"o,omitempty"`
}

// encodeEntries returns a message with the given entries.
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
		panic(fmt.Sprintf("encode message: %v", err)) // all fields have types that can be encoded
	}
	return b
}

// decodeMessage decodes and checks a message from an untrusted sender. An unknown kind is no error, as newer versions
// of the program may have more kinds.
func decodeMessage(b []byte, networks []netip.Prefix) (message, error) {
	var m message
	if len(b) > maxMessageBytes {
		return m, fmt.Errorf("message of %d bytes exceeds the limit of %d", len(b), maxMessageBytes)
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return message{}, fmt.Errorf("decode message: %w", err)
	}
	if m.Version != messageVersion {
		return message{}, fmt.Errorf("message version %d is not supported, want %d", m.Version, messageVersion)
	}
	if len(m.Entries) > maxEntries {
		return message{}, fmt.Errorf("message of %d entries exceeds the limit of %d", len(m.Entries), maxEntries)
	}
	for _, e := range m.Entries {
		if err := e.check(networks); err != nil {
			return message{}, fmt.Errorf("check message: %w", err)
		}
	}
	if err := m.checkProcessIDs(); err != nil {
		return message{}, fmt.Errorf("check message of kind %s: %w", m.Kind, err)
	}
	return m, nil
}

// checkProcessIDs checks the process IDs that a message of this kind requires.
func (m message) checkProcessIDs() error {
	var ids []processID
	switch m.Kind {
	case kindAckRequest:
		ids = []processID{m.Sender}
	case kindAck:
		ids = []processID{m.Sender, m.Acknowledged}
	}
	for _, id := range ids {
		if err := checkID(roster.ID(id)); err != nil {
			return err
		}
	}
	if m.Kind == kindAckRequest && !m.hasOwnEntry() {
		return fmt.Errorf("sender %s@%d: its entry or address is missing", m.Sender.Name, m.Sender.Start)
	}
	return nil
}

// hasOwnEntry reports whether the message has exactly one entry, which is its sender's and has an address.
func (m message) hasOwnEntry() bool {
	return len(m.Entries) == 1 && processID{m.Entries[0].Name, m.Entries[0].Start} == m.Sender && m.Entries[0].Addr != ""
}

// check checks an entry from an untrusted sender.
func (e wireEntry) check(networks []netip.Prefix) error {
	if err := checkID(roster.ID{Name: e.Name, Start: e.Start}); err != nil {
		return err
	}
	if e.Gone < 0 || e.Gone >= maxStart || (e.Gone == 0) != (e.Proof == 0) {
		return fmt.Errorf("entry %q: gone %d with proof %d is invalid", e.Name, e.Gone, e.Proof)
	}
	if e.Addr == "" {
		return nil
	}
	at, err := netip.ParseAddrPort(e.Addr)
	if err != nil || len(e.Addr) > maxAddrBytes || at.Port() == 0 {
		return fmt.Errorf("entry %q: %q is not IP:PORT", e.Name, e.Addr)
	}
	return withEntryName(e.Name, checkMemberAddr(networks, at.Addr()))
}

// withEntryName prefixes an error with an entry's name. It returns nil for a nil error.
func withEntryName(name string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("entry %q: %w", name, err)
}

// rosterEntries converts the entries to those of package roster.
func (m message) rosterEntries() []roster.Entry {
	out := make([]roster.Entry, len(m.Entries))
	for i, e := range m.Entries {
		out[i] = roster.Entry{Name: e.Name, Start: e.Start, GoneStart: e.Gone, Proof: roster.Proof(e.Proof), Addr: e.Addr,
			Observer: e.Observer}
	}
	return out
}

// weight returns the weight of a message in a messageQueue: 1, and 1 for each entry.
func (m message) weight() int { return 1 + len(m.Entries) }
