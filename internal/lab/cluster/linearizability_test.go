package cluster

import (
	"testing"
	"time"
)

// between returns op with its call and return times set, in milliseconds.
func between(op operation, from, to int) operation {
	op.key, op.called, op.returned = "s", time.Duration(from)*time.Millisecond, time.Duration(to)*time.Millisecond
	return op
}

func TestCheckLinearizable_historiesOfOneEntry(t *testing.T) {
	write := func(v, rev int64) operation {
		return operation{kind: opWrite, value: v, returnedRev: rev, condition: -1, outcome: outcomeOK}
	}
	read := func(v, rev int64) operation {
		return operation{kind: opRead, returnedValue: v, returnedRev: rev, condition: -1, outcome: outcomeOK}
	}
	unknownWrite := func(v int64) operation {
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
		"sequential calls":                               {[]operation{between(write(1, 5), 0, 1), between(read(1, 5), 2, 3), between(ifRevision(write(2, 6), 5), 4, 5)}, true},
		"a stale read":                                   {[]operation{between(write(1, 5), 0, 1), between(write(2, 6), 2, 3), between(read(1, 5), 4, 5)}, false},
		"a read concurrent with a write":                 {[]operation{between(write(1, 5), 0, 1), between(write(2, 6), 2, 9), between(read(1, 5), 4, 5)}, true},
		"a lost write":                                   {[]operation{between(write(1, 5), 0, 1), between(read(0, 0), 2, 3)}, false},
		"a write whose condition did not hold":           {[]operation{between(write(1, 5), 0, 1), between(ifRevision(write(2, 6), 4), 2, 3)}, false},
		"a rejection although the condition held":        {[]operation{between(write(1, 5), 0, 1), between(rejected(5), 2, 3)}, false},
		"two conditional writes that exclude each other": {[]operation{between(ifRevision(write(1, 5), 0), 0, 9), between(ifRevision(write(2, 6), 0), 0, 9)}, false},
		"a revision that went back":                      {[]operation{between(write(1, 5), 0, 1), between(write(2, 4), 2, 3)}, false},
		"unknown outcome, applied":                       {[]operation{between(write(1, 5), 0, 1), between(unknownWrite(2), 2, 3), between(read(2, 6), 8, 9)}, true},
		"unknown outcome, not applied":                   {[]operation{between(write(1, 5), 0, 1), between(unknownWrite(2), 2, 3), between(read(1, 5), 8, 9)}, true},
		"unknown outcome, applied later":                 {[]operation{between(write(1, 5), 0, 1), between(unknownWrite(2), 2, 3), between(read(1, 5), 4, 5), between(read(2, 6), 8, 9)}, true},
		"unknown outcome, applied and reverted":          {[]operation{between(write(1, 5), 0, 1), between(unknownWrite(2), 2, 3), between(read(2, 6), 4, 5), between(read(1, 5), 8, 9)}, false},
	} {
		if got := checkLinearizable(test.ops) == ""; got != test.linearizable {
			t.Errorf("%s: linearizable = %v", name, got)
		}
	}
}
