package rollout

import (
	"strconv"
	"strings"

	"marblelane/internal/route"
)

// This file implements the ledger of an error budget, which records the units that each process was granted, has spent
// and has returned. docs/routes.md, "Budget", states the rules and where they are proved; package model explores all
// interleavings.

// Account holds the totals of one process in the ledger of one rollout.
type Account struct {
	Granted  int64 `json:"granted"`
	Spent    int64 `json:"spent"`
	Returned int64 `json:"returned"`
	Gone     bool  `json:"gone,omitempty"` // the account is closed and no longer changes
}

// LedgerEntry updates the account of one process in the ledger of one rollout. It contains totals, and a total below that
// of the account has no effect, so an entry may be applied twice or late.
type LedgerEntry struct {
	route.Process
	Tenant   string `json:"tenant"`
	Rollout  string `json:"rollout"`
	Granted  int64  `json:"granted"`
	Spent    int64  `json:"spent"`
	Returned int64  `json:"returned"`
	Gone     bool   `json:"gone,omitempty"` // the process has ended: its outstanding units count as spent
}

// FoldedAccountKey is the key of the account that holds the sum of folded accounts: accounts of processes that are gone,
// once the ledger is full, and settled accounts of an ended rollout. No process has this key.
const FoldedAccountKey = "*"

const accountKeySeparator = "@"

// AccountKey returns the key of a process's account: name@start.
func AccountKey(p route.Process) string {
	return p.Name + accountKeySeparator + strconv.FormatInt(p.Start, 10)
}

func parseAccountKey(key string) (p route.Process, ok bool) {
	at := strings.LastIndex(key, accountKeySeparator)
	if at < 0 {
		return p, false
	}
	start, err := strconv.ParseInt(key[at+1:], 10, 64)
	return route.Process{Name: key[:at], Start: start}, err == nil
}

// settle returns the account with newer totals of spent and returned units. ok is false if they exceed the granted units;
// then they must be the totals of another account.
func (a Account) settle(spent, returned int64) (settled Account, ok bool) {
	a.Spent, a.Returned = max(a.Spent, spent), max(a.Returned, returned)
	return a, a.Spent <= a.Granted && a.Returned <= a.Granted-a.Spent
}

// grant returns the account with its granted units raised to total, but by no more than unitsLeft.
func (a Account) grant(total, unitsLeft int64) Account {
	a.Granted += max(0, min(total-a.Granted, unitsLeft))
	return a
}

// close returns the closed account of a process that has ended: its outstanding units count as spent.
func (a Account) close() Account {
	a.Gone, a.Spent = true, a.Granted-a.Returned
	return a
}

// isSettled reports whether no further settlement of an account is expected.
func (a Account) isSettled() bool { return a.Gone || a.Spent+a.Returned == a.Granted }

// outstanding returns the maximum number of units that the process may still have.
func (a Account) outstanding() int64 { return a.Granted - a.Spent - a.Returned }

// add returns the account with the totals of b added (sign 1) or subtracted (sign -1).
func (a Account) add(b Account, sign int64) Account {
	return Account{
		Granted:  a.Granted + sign*b.Granted,
		Spent:    a.Spent + sign*b.Spent,
		Returned: a.Returned + sign*b.Returned,
		Gone:     a.Gone || b.Gone,
	}
}

// unitsLeft returns the number of units that are neither spent nor outstanding at a process.
func (r *rolloutState) unitsLeft() int64 {
	return r.Spec.Budget - (r.totals.Granted - r.totals.Returned)
}

// applyEntry applies an entry to its account.
func (r *rolloutState) applyEntry(e *LedgerEntry) {
	key := AccountKey(e.Process)
	old, exists := r.Ledger[key]
	account, ok := old.settle(e.Spent, e.Returned)
	if old.Gone || !ok || e.Gone && !exists {
		return
	}
	if e.Gone {
		account = account.close()
	} else if !r.Phase.IsFinal() {
		account = account.grant(e.Granted, r.unitsLeft()+account.Returned-old.Returned)
	}
	if account == old || !exists && !r.ensureCapacity() {
		return
	}
	r.Ledger[key] = account
	r.totals = r.totals.add(old, -1).add(account, 1)
}

// ensureCapacity folds the accounts of processes that are gone if the ledger is full, and reports whether an account can
// be added.
func (r *rolloutState) ensureCapacity() bool {
	if len(r.Ledger) >= MaxAccounts {
		r.foldAccounts(func(a Account) bool { return a.Gone })
	}
	return len(r.Ledger) < MaxAccounts
}

// foldAccounts moves the accounts for which include returns true into the account with FoldedAccountKey.
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
		sum.Gone = true // no entry changes it
		r.Ledger[FoldedAccountKey] = sum
	}
}

// applyEntry applies an entry to its account, and rolls the rollout back if its budget is spent.
func (s *State) applyEntry(e *LedgerEntry, atMS int64) {
	r := s.findRollout(e.Tenant, e.Rollout)
	if r == nil {
		return
	}
	r.applyEntry(e)
	if r.Phase.IsFinal() {
		if account, exists := r.Ledger[AccountKey(e.Process)]; exists && account.isSettled() {
			r.foldAccounts(Account.isSettled)
		}
		return
	}
	if r.totals.Spent >= r.Spec.Budget {
		s.endRollout(s.tenants[e.Tenant], r, RolledBack, ReasonBudgetSpent, atMS)
	}
}
