package rollout

import (
	"strconv"
	"strings"

	"marblelane/internal/route"
)

// This file keeps the ledger of an error budget: what each process was granted, has spent and has returned. The rules,
// and where they are proved: docs/routes.md, "Budget"; package model explores all interleavings of them.

// Account is what one process has of one rollout's budget, in totals.
type Account struct {
	Granted  int64 `json:"granted"`
	Spent    int64 `json:"spent"`
	Returned int64 `json:"returned"`
	Gone     bool  `json:"gone,omitempty"` // closed: nothing moves it any more
}

// LedgerEntry moves one process's account with one rollout. It has totals, and one below the account's own changes
// nothing, so an entry may be applied twice or late.
type LedgerEntry struct {
	route.Process
	Tenant   string `json:"tenant"`
	Rollout  string `json:"rollout"`
	Granted  int64  `json:"granted"`
	Spent    int64  `json:"spent"`
	Returned int64  `json:"returned"`
	Gone     bool   `json:"gone,omitempty"` // the process has ended: all that it held counts as spent
}

// FoldedAccountKey is the key of the account into which others are folded: those of processes that are gone, once there
// are many, and settled ones of a rollout that is over. No process has this key.
const FoldedAccountKey = "*"

const processSeparator = "@"

// AccountKey is the key of a process's account: name@start.
func AccountKey(p route.Process) string {
	return p.Name + processSeparator + strconv.FormatInt(p.Start, 10)
}

func parseAccountKey(key string) (p route.Process, ok bool) {
	at := strings.LastIndex(key, processSeparator)
	if at < 0 {
		return p, false
	}
	start, err := strconv.ParseInt(key[at+1:], 10, 64)
	return route.Process{Name: key[:at], Start: start}, err == nil
}

// settle is the settlement of an account: it takes in later totals of what was spent and returned. It is not ok where
// they exceed all that was granted; then they are the totals of another account.
func (a Account) settle(spent, returned int64) (settled Account, ok bool) {
	a.Spent, a.Returned = max(a.Spent, spent), max(a.Returned, returned)
	return a, a.Spent <= a.Granted && a.Returned <= a.Granted-a.Spent
}

// grant is the grant of budget to an account: it raises the total granted to total, by no more than is left.
func (a Account) grant(total, left int64) Account {
	a.Granted += max(0, min(total-a.Granted, left))
	return a
}

// close closes the account of a process that has ended: all that it held counts as spent.
func (a Account) close() Account {
	a.Gone, a.Spent = true, a.Granted-a.Returned
	return a
}

// isSettled reports whether nothing more is expected of an account.
func (a Account) isSettled() bool { return a.Gone || a.Spent+a.Returned == a.Granted }

// unsettled is the most that the account's process may hold.
func (a Account) unsettled() int64 { return a.Granted - a.Spent - a.Returned }

// add adds another account's totals, with a sign of 1 or -1.
func (a Account) add(b Account, sign int64) Account {
	return Account{
		Granted:  a.Granted + sign*b.Granted,
		Spent:    a.Spent + sign*b.Spent,
		Returned: a.Returned + sign*b.Returned,
		Gone:     a.Gone || b.Gone,
	}
}

// unitsLeft is the part of the budget that is neither spent nor held by any process.
func (r *rolloutState) unitsLeft() int64 {
	return r.Spec.Budget - (r.totals.Granted - r.totals.Returned)
}

// applyEntry applies an entry to its account.
func (r *rolloutState) applyEntry(e *LedgerEntry) {
	key := AccountKey(e.Process)
	old, known := r.Ledger[key]
	account, ok := old.settle(e.Spent, e.Returned)
	if old.Gone || !ok || e.Gone && !known {
		return
	}
	if e.Gone {
		account = account.close()
	} else if !r.Phase.IsFinal() {
		account = account.grant(e.Granted, r.unitsLeft()+account.Returned-old.Returned)
	}
	if account == old || !known && !r.ensureCapacity() {
		return
	}
	r.Ledger[key] = account
	r.totals = r.totals.add(old, -1).add(account, 1)
}

// ensureCapacity folds accounts of processes that are gone if the ledger is full, and reports whether there is space for
// one more.
func (r *rolloutState) ensureCapacity() bool {
	if len(r.Ledger) >= MaxAccounts {
		r.foldAccounts(func(a Account) bool { return a.Gone })
	}
	return len(r.Ledger) < MaxAccounts
}

// foldAccounts adds the accounts that include picks to the account of sums.
func (r *rolloutState) foldAccounts(include func(Account) bool) {
	sum := r.Ledger[FoldedAccountKey]
	folded := 0
	for key, account := range r.Ledger { // the order of a sum does not matter
		if key != FoldedAccountKey && include(account) {
			sum, folded = sum.add(account, 1), folded+1
			delete(r.Ledger, key)
		}
	}
	if folded > 0 {
		sum.Gone = true // no entry moves it
		r.Ledger[FoldedAccountKey] = sum
	}
}

// applyEntry applies an entry to its account, and rolls the rollout back when its budget is spent.
func (s *State) applyEntry(e *LedgerEntry, atMS int64) {
	r := s.findRollout(e.Tenant, e.Rollout)
	if r == nil {
		return
	}
	r.applyEntry(e)
	if r.Phase.IsFinal() {
		if account, known := r.Ledger[AccountKey(e.Process)]; known && account.isSettled() {
			r.foldAccounts(Account.isSettled)
		}
		return
	}
	if r.totals.Spent >= r.Spec.Budget {
		s.stop(s.tenants[e.Tenant], r, RolledBack, ReasonBudgetSpent, atMS)
	}
}
