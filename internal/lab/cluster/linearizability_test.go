package cluster

import (
	"testing"
	"time"
)

// between gives an operation its time, in milliseconds.
func between(op operation, from, to int) operation {
	op.key, op.called, op.returned = "s", time.Duration(from)*time.Millisecond, time.Duration(to)*time.Millisecond
	return op
}

func TestCheckLinearizable_historiesOfOneEntry(t *testing.T) {
	put := func(v, rev int64) operation {
		return operation{kind: opWrite, value: v, returnedRev: rev, condition: -1, outcome: outcomeOK}
	}
	get := func(v, rev int64) operation {
		return operation{kind: opRead, returnedValue: v, returnedRev: rev, condition: -1, outcome: outcomeOK}
	}
	unknownPut := func(v int64) operation {
		return operation{kind: opWrite, value: v, condition: -1, outcome: outcomeUnknown}
	}
	ifRevision := func(op operation, condition int64) operation { op.condition = condition; return op }
	rejected := func(condition int64) operation {
		return operation{kind: opWrite, value: 99, condition: condition, outcome: outcomeConflict}
	}
	for name, test := range map[string]struct {
		ops          []operation
		linearizable bool
	}{
		"in turn":                       {[]operation{between(put(1, 5), 0, 1), between(get(1, 5), 2, 3), between(ifRevision(put(2, 6), 5), 4, 5)}, true},
		"a read of the past":            {[]operation{between(put(1, 5), 0, 1), between(put(2, 6), 2, 3), between(get(1, 5), 4, 5)}, false},
		"a read beside a write":         {[]operation{between(put(1, 5), 0, 1), between(put(2, 6), 2, 9), between(get(1, 5), 4, 5)}, true},
		"a lost write":                  {[]operation{between(put(1, 5), 0, 1), between(get(0, 0), 2, 3)}, false},
		"a condition that did not hold": {[]operation{between(put(1, 5), 0, 1), between(ifRevision(put(2, 6), 4), 2, 3)}, false},
		"a refusal without a reason":    {[]operation{between(put(1, 5), 0, 1), between(rejected(5), 2, 3)}, false},
		"two that both held":            {[]operation{between(ifRevision(put(1, 5), 0), 0, 9), between(ifRevision(put(2, 6), 0), 0, 9)}, false},
		"a revision that went back":     {[]operation{between(put(1, 5), 0, 1), between(put(2, 4), 2, 3)}, false},
		"unknown, and it happened":      {[]operation{between(put(1, 5), 0, 1), between(unknownPut(2), 2, 3), between(get(2, 6), 8, 9)}, true},
		"unknown, and it did not":       {[]operation{between(put(1, 5), 0, 1), between(unknownPut(2), 2, 3), between(get(1, 5), 8, 9)}, true},
		"unknown, and later":            {[]operation{between(put(1, 5), 0, 1), between(unknownPut(2), 2, 3), between(get(1, 5), 4, 5), between(get(2, 6), 8, 9)}, true},
		"unknown, and taken back":       {[]operation{between(put(1, 5), 0, 1), between(unknownPut(2), 2, 3), between(get(2, 6), 4, 5), between(get(1, 5), 8, 9)}, false},
	} {
		if got := checkLinearizable(test.ops) == ""; got != test.linearizable {
			t.Errorf("%s: linearizable is %v", name, got)
		}
	}
}
