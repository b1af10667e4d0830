package cluster

import (
	"testing"
	"time"
)

// at gives an operation its time, in milliseconds.
func at(op operation, from, to int) operation {
	op.key, op.call, op.returned = "s", time.Duration(from)*time.Millisecond, time.Duration(to)*time.Millisecond
	return op
}

func TestCheckLinearizable_historiesOfOneEntry(t *testing.T) {
	put := func(v, rev int64) operation {
		return operation{kind: opPut, value: v, gotRev: rev, condition: -1, outcome: outcomeOK}
	}
	get := func(v, rev int64) operation {
		return operation{kind: opGet, gotValue: v, gotRev: rev, condition: -1, outcome: outcomeOK}
	}
	lost := func(v int64) operation {
		return operation{kind: opPut, value: v, condition: -1, outcome: outcomeUnknown}
	}
	on := func(op operation, condition int64) operation { op.condition = condition; return op }
	rejected := func(condition int64) operation {
		return operation{kind: opPut, value: 99, condition: condition, outcome: outcomeConflict}
	}
	for name, replica := range map[string]struct {
		ops  []operation
		good bool
	}{
		"in turn":                       {[]operation{at(put(1, 5), 0, 1), at(get(1, 5), 2, 3), at(on(put(2, 6), 5), 4, 5)}, true},
		"a read of the past":            {[]operation{at(put(1, 5), 0, 1), at(put(2, 6), 2, 3), at(get(1, 5), 4, 5)}, false},
		"a read beside a write":         {[]operation{at(put(1, 5), 0, 1), at(put(2, 6), 2, 9), at(get(1, 5), 4, 5)}, true},
		"a lost write":                  {[]operation{at(put(1, 5), 0, 1), at(get(0, 0), 2, 3)}, false},
		"a condition that did not hold": {[]operation{at(put(1, 5), 0, 1), at(on(put(2, 6), 4), 2, 3)}, false},
		"a refusal without a reason":    {[]operation{at(put(1, 5), 0, 1), at(rejected(5), 2, 3)}, false},
		"two that both held":            {[]operation{at(on(put(1, 5), 0), 0, 9), at(on(put(2, 6), 0), 0, 9)}, false},
		"a revision that went back":     {[]operation{at(put(1, 5), 0, 1), at(put(2, 4), 2, 3)}, false},
		"unknown, and it happened":      {[]operation{at(put(1, 5), 0, 1), at(lost(2), 2, 3), at(get(2, 6), 8, 9)}, true},
		"unknown, and it did not":       {[]operation{at(put(1, 5), 0, 1), at(lost(2), 2, 3), at(get(1, 5), 8, 9)}, true},
		"unknown, and later":            {[]operation{at(put(1, 5), 0, 1), at(lost(2), 2, 3), at(get(1, 5), 4, 5), at(get(2, 6), 8, 9)}, true},
		"unknown, and taken back":       {[]operation{at(put(1, 5), 0, 1), at(lost(2), 2, 3), at(get(2, 6), 4, 5), at(get(1, 5), 8, 9)}, false},
	} {
		if got := checkLinearizable(replica.ops) == ""; got != replica.good {
			t.Errorf("%s: linearizable is %v", name, got)
		}
	}
}
