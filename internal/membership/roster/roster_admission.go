package roster

// This file decides whether the fleet knows this process.

import (
	"cmp"
	"slices"
)

// Digest stands for all that live by what is known here, in no order. Its two lowest bits say whether this process is
// admitted, and not Forced; the others are the same for processes that know the same.
func (r *Roster) Digest() uint64 {
	return r.digest&^standing | uint64(bit(r.admitted))*countedIn | uint64(bit(r.admitted && !r.forced))*surely
}

// Acknowledged takes in that another process has this digest. If it is this one's, too, then that process knows all
// that this one knows, and this one among them. False: they differ, an exchange is wanted.
func (r *Roster) Acknowledged(by ID, digest uint64) bool {
	if (digest^r.digest)&^standing != 0 {
		return false
	}
	if p := r.find(by); p != nil && by != r.self {
		n := r.names[by.Name]
		r.count(n, -1)
		p.acked, p.vouched, p.sure = true, p.vouched || digest&countedIn != 0, p.sure || digest&surely != 0
		r.count(n, 1)
		r.admit()
	}
	return true
}

// admit counts this process in once all others know of it. That newcomers know each other is no evidence, as they may
// know nobody else: one that is admitted must be among them, or as many as the settings name, which are more than one.
// Who came in on the word of one that only waited long enough is no surer than that one; but where the settings name no
// more than one, that is how every fleet begins.
func (r *Roster) admit() {
	if r.acked == 0 || r.acked < r.others {
		return
	}
	alone := r.o.Peers == 1
	if r.sure > 0 || !alone && r.living >= r.o.Peers || alone && r.vouched > 0 {
		r.admitted, r.forced = true, false
	} else if r.vouched > 0 && !r.admitted {
		r.admitted, r.forced = true, true
	}
}

// Wanting gives up to so many of the living others that have not acknowledged this process, those first whose turn is
// next; nobody once it is admitted and not Forced.
func (r *Roster) Wanting(most int) []Entry {
	if r.admitted && !r.forced || r.left || r.o.Observer {
		return nil
	}
	all := r.those(func(p *process) bool { return !p.watches && (!p.acked || r.sure == 0) })
	slices.SortFunc(all, func(a, b *process) int {
		return cmp.Or(after(a.ID, r.asked)-after(b.ID, r.asked), compare(a.ID, b.ID))
	})
	all = all[:min(len(all), max(most, 0))]
	if len(all) > 0 {
		r.asked = all[len(all)-1].ID
	}
	return entries(all)
}

// after is 0 for those after an id, and 1 for those up to it.
func after(a, id ID) int {
	if compare(a, id) > 0 {
		return 0
	}
	return 1
}
