package roster

// This file decides whether this process is admitted, which requires acknowledgements by the fleet.

import (
	"cmp"
	"slices"
)

// Flags in the lowest bits of a digest. They describe the admission of the sender.
const (
	digestAdmitted = 1 << iota // the sender is admitted
	digestUnforced             // the sender is admitted and not Forced
	digestFlags    = digestAdmitted | digestUnforced
)

// Digest returns a digest of the set of present processes. Its upper bits are equal for rosters with the same set. Its
// two lowest bits are digestAdmitted and digestUnforced.
func (r *Roster) Digest() uint64 {
	admitted := uint64(boolToByte(r.admitted)) * digestAdmitted
	unforced := uint64(boolToByte(r.admitted && !r.forced)) * digestUnforced
	return r.totals.presentDigest&^digestFlags | admitted | unforced
}

// HandleDigest compares the digest of another process with that of this one and reports whether they match. A matching
// digest acknowledges this process: the other one knows the same present processes, including this one. If the digests
// differ, the two should exchange their entries.
func (r *Roster) HandleDigest(by ID, digest uint64) bool {
	if (digest^r.totals.presentDigest)&^digestFlags != 0 {
		return false
	}
	if p := r.find(by); p != nil && by != r.self {
		group := r.byName[by.Name]
		r.updateTotals(group, -1)
		p.acknowledged = true
		p.acknowledgedAdmitted = p.acknowledgedAdmitted || digest&digestAdmitted != 0
		p.acknowledgedUnforced = p.acknowledgedUnforced || digest&digestUnforced != 0
		r.updateTotals(group, 1)
		r.updateAdmission()
	}
	return true
}

// updateAdmission admits this process once all others have acknowledged it. Acknowledgements by joining processes alone
// are not sufficient, because these may know only each other. Either one of the others must be admitted, or Peers must
// be greater than 1 and that many names must be present. A process that only Forced ones admit is Forced itself, unless
// Peers is 1, because every such fleet starts with a Forced process.
func (r *Roster) updateAdmission() {
	t := &r.totals
	if t.acks == 0 || t.acks < t.otherProcesses {
		return
	}
	ackedByAdmitted := t.acksByAdmitted > 0
	fleetComplete := r.options.Peers > 1 && t.presentNames >= r.options.Peers
	firstOfFleet := r.options.Peers == 1 && ackedByAdmitted
	if t.acksByUnforced > 0 || fleetComplete || firstOfFleet {
		r.admitted, r.forced = true, false
	} else if ackedByAdmitted && !r.admitted {
		r.admitted, r.forced = true, true
	}
}

// Unacknowledged returns at most limit of the other present processes whose acknowledgement this process needs.
// Successive calls return them in round-robin order. It returns none once this process is admitted and not Forced, or
// if it left or is an observer.
func (r *Roster) Unacknowledged(limit int) []Entry {
	if r.admitted && !r.forced || r.left || r.options.Observer {
		return nil
	}
	all := r.selectOthers(func(p *process) bool {
		return !p.observer && (!p.acknowledged || r.totals.acksByUnforced == 0)
	})
	slices.SortFunc(all, func(a, b *process) int {
		return cmp.Or(roundRobinKey(a.ID, r.lastListed)-roundRobinKey(b.ID, r.lastListed), compareIDs(a.ID, b.ID))
	})
	all = all[:min(len(all), max(limit, 0))]
	if len(all) > 0 {
		r.lastListed = all[len(all)-1].ID
	}
	return toEntries(all)
}

// roundRobinKey returns 0 for the processes ordered after the last listed one, and 1 for those that start the next
// round.
func roundRobinKey(id, last ID) int {
	if compareIDs(id, last) > 0 {
		return 0
	}
	return 1
}
