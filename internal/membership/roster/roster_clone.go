package roster

// This file copies rosters and writes them down, for tests that try every order.

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Clone is a copy that goes its own way.
func (r *Roster) Clone() *Roster {
	c := *r
	c.names, c.side = make(map[string]*name, len(r.names)), maps.Clone(r.side)
	for k, n := range r.names {
		c.names[k] = &name{slices.Clone(n.all), n.proofs}
		if c.side[k] != nil {
			c.side[k] = c.names[k]
		}
	}
	c.deathRecords = slices.Clone(r.deathRecords)
	return &c
}

// AppendKey appends what tells this roster from others of the same Options, but for times, for who is heard, and for the
// order in which proofs will be forgotten.
func (r *Roster) AppendKey(b []byte) []byte {
	b = binary.AppendVarint(b, r.self.Start)
	b = append(b, bit(r.admitted)|bit(r.forced)<<1|bit(r.left)<<2)
	waits := !r.admitted || r.forced // to be acknowledged
	for _, k := range slices.Sorted(maps.Keys(r.names)) {
		b = append(append(b, byte(len(k))), k...)
		for i := range r.names[k].all {
			p := &r.names[k].all[i]
			b = binary.AppendVarint(b, p.Start)
			b = append(b, byte(p.proof))
			if waits && p.lives() {
				b = append(b, bit(p.acked)|bit(p.vouched)<<1|bit(p.sure)<<2)
			}
		}
		b = append(b, 0)
	}
	return b
}

// bit is 1 for what is so.
func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}
