package roster

// This file clones and encodes rosters for the state-space exploration in package model.

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Clone returns a deep copy.
func (r *Roster) Clone() *Roster {
	c := *r
	c.byName, c.coexisting = make(map[string]*nameGroup, len(r.byName)), maps.Clone(r.coexisting)
	for name, group := range r.byName {
		c.byName[name] = &nameGroup{slices.Clone(group.processes), group.goneCount}
		if c.coexisting[name] != nil {
			c.coexisting[name] = c.byName[name]
		}
	}
	c.proofRecords = slices.Clone(r.proofRecords)
	return &c
}

// AppendKey appends a key of the roster's state to b. Rosters with equal Options and equal keys are treated as the same
// state. The key omits times, reachability and the order in which proofs are evicted.
func (r *Roster) AppendKey(b []byte) []byte {
	b = binary.AppendVarint(b, r.self.Start)
	b = append(b, boolToByte(r.admitted)|boolToByte(r.forced)<<1|boolToByte(r.left)<<2)
	acksMatter := !r.admitted || r.forced
	for _, name := range slices.Sorted(maps.Keys(r.byName)) {
		b = append(append(b, byte(len(name))), name...)
		for i := range r.byName[name].processes {
			p := &r.byName[name].processes[i]
			b = binary.AppendVarint(b, p.Start)
			b = append(b, byte(p.proof))
			if acksMatter && p.present() {
				b = append(b, boolToByte(p.acknowledged)|boolToByte(p.acknowledgedAdmitted)<<1|boolToByte(p.acknowledgedUnforced)<<2)
			}
		}
		b = append(b, 0)
	}
	return b
}

func boolToByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}
