package rollout

// This file keeps the accounts of a rollout's budget, by process.

// settle is an account with later totals of what was spent and returned. It is none where they are more than was ever
// granted: then they are of an account that this one does not continue.
func (a Account) settle(spent, returned int64) (Account, bool) {
	a.Spent, a.Returned = max(a.Spent, spent), max(a.Returned, returned)
	return a, a.Spent <= a.Granted && a.Returned <= a.Granted-a.Spent
}

// settled tells whether nothing of an account is open.
func (a Account) settled() bool { return a.Gone || a.Spent+a.Returned == a.Granted }

// held is what the account's process holds at most.
func (a Account) held() int64 { return a.Granted - a.Spent - a.Returned }

func (a Account) plus(b Account, sign int64) Account {
	return Account{Granted: a.Granted + sign*b.Granted, Spent: a.Spent + sign*b.Spent,
		Returned: a.Returned + sign*b.Returned, Gone: a.Gone || b.Gone}
}

// left is what of the budget nobody holds or has spent.
func (r *run) left() int64 { return r.Spec.Budget - (r.total.Granted - r.total.Returned) }

func (r *run) enter(e *Entry) {
	key := Key(e.Process)
	old, known := r.Ledger[key]
	a, ok := old.settle(e.Spent, e.Returned)
	if old.Gone || !ok || e.Gone && !known {
		return
	}
	if e.Gone {
		a.Gone, a.Spent = true, a.Granted-a.Returned
	} else if !r.Phase.Over() {
		left := r.left() + a.Returned - old.Returned
		a.Granted += max(0, min(e.Granted-a.Granted, left))
	}
	if a == old {
		return
	}
	if !known && len(r.Ledger) >= MaxAccounts {
		if r.fold(func(a Account) bool { return a.Gone }); len(r.Ledger) >= MaxAccounts {
			return
		}
	}
	r.Ledger[key] = a
	r.total = r.total.plus(old, -1).plus(a, 1)
}

// fold adds the accounts that which picks to the one of sums.
func (r *run) fold(which func(Account) bool) {
	sum := r.Ledger[SumKey]
	n := 0
	for key, a := range r.Ledger { // a sum has no order
		if key != SumKey && which(a) {
			sum, n = sum.plus(a, 1), n+1
			delete(r.Ledger, key)
		}
	}
	if n > 0 {
		sum.Gone = true // no entry moves it
		r.Ledger[SumKey] = sum
	}
}

// enter takes an entry into its account, and ends the rollout that has spent all with it.
func (s *State) enter(e *Entry, atMS int64) {
	r := s.find(e.Tenant, e.Rollout)
	if r == nil {
		return
	}
	r.enter(e)
	if r.Phase.Over() {
		if a, known := r.Ledger[Key(e.Process)]; known && a.settled() {
			r.fold(Account.settled)
		}
	} else if r.total.Spent >= r.Spec.Budget {
		s.turn(s.tenants[e.Tenant], r, RolledBack, WhySpent, atMS)
	}
}
