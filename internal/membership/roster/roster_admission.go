package roster

// This file decides whether this process is admitted: whether the fleet has acknowledged it.

import (
	"cmp"
	"slices"
)

// The lowest bits of a digest are the sender's own admission.
const (
	digestAdmitted = 1 << iota
	digestUnforced // admitted and not Forced
	digestFlags    = digestAdmitted | digestUnforced
)

// Digest identifies the set of present processes in its upper bits, which are equal for processes with the same
// knowledge. Its two lowest bits say whether this process is admitted, and whether it is admitted and not Forced.
func (r *Roster) Digest() uint64 {
	admitted := uint64(boolToByte(r.admitted)) * digestAdmitted
	unforced := uint64(boolToByte(r.admitted && !r.forced)) * digestUnforced
	return r.totals.presentDigest&^digestFlags | admitted | unforced
}

// HandleDigest handles another process's digest. If it matches, that process knows all that this one knows, and this
// one among them. It returns false if they differ and should exchange their knowledge.
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

// updateAdmission admits this process once all others have acknowledged it. Acknowledgements of joining processes alone
// are not enough, as these may know only each other: an admitted process must be among them, or as many names as Peers
// if that is more than one. A process admitted by Forced ones is Forced itself. Where Peers is 1 it is not, as every
// fleet starts that way.
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

// Unacknowledged returns at most limit of the other present processes that have not acknowledged this one. Successive
// calls go round among them. It returns none once this process is admitted and not Forced.
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

// roundRobinKey sorts the processes after the last one of the round (0) before the others (1).
func roundRobinKey(id, last ID) int {
	if compareIDs(id, last) > 0 {
		return 0
	}
	return 1
}
