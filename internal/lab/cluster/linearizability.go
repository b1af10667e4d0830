package cluster

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// This file checks that the history of the writers' calls on each entry is linearizable.

// opKind is the kind of a call on an entry.
type opKind uint8

const (
	opRead opKind = iota
	opWrite
	opRemove
)

// outcome is the outcome of a call, as its writer knows it.
type outcome uint8

const (
	outcomeNotApplied outcome = iota // the call was certainly not applied, and never will be
	outcomeOK                        // the call succeeded
	outcomeConflict                  // the call was rejected: its condition did not hold
	outcomeUnknown                   // the call may have been applied, or may still be
)

// operation is one call on an entry and its outcome.
type operation struct {
	key              string
	client           int
	kind             opKind
	value            int64 // value that a write stores, different for each write
	condition        int64 // required revision of the entry; 0: the entry must not exist; -1: no condition
	outcome          outcome
	returnedRev      int64
	returnedValue    int64
	called, returned time.Duration
}

// register is the state of one entry in the model.
type register struct {
	value int64 // value of the entry; 0: the entry does not exist
	rev   int64 // revision of the last change; unknownRevision if the outcome of that write is unknown
}

// unknownRevision is the revision of a write with an unknown outcome: its writer did not receive the revision.
const unknownRevision = -1

// entryModel returns the model of one entry that is written, removed and read. A write with an unknown outcome may have
// been applied or not, at any time until the end of the history.
func entryModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{}} },
		Step: func(state, input, output any) []any {
			s, op := state.(register), input.(operation)
			conditionMayHold := op.condition < 0 || s.rev == unknownRevision || s.rev == op.condition
			conditionMayFail := op.condition >= 0 && (s.rev == unknownRevision || s.rev != op.condition)
			applied := register{}
			if op.kind == opWrite {
				applied = register{op.value, unknownRevision}
			}
			switch op.outcome {
			case outcomeConflict:
				if conditionMayFail {
					return []any{s}
				}
				return nil
			case outcomeUnknown:
				if op.kind == opRead {
					return []any{s}
				}
				if conditionMayHold {
					return []any{s, applied}
				}
				return []any{s}
			}
			if op.kind == opRead {
				if s.value != op.returnedValue || s.rev != unknownRevision && s.rev != op.returnedRev {
					return nil
				}
				return []any{register{op.returnedValue, op.returnedRev}}
			}
			if op.kind == opRemove {
				// The removal of an entry that does not exist succeeds, whatever its condition.
				if s.value == 0 || conditionMayHold {
					return []any{register{}}
				}
				return nil
			}
			if !conditionMayHold || s.rev != unknownRevision && op.returnedRev <= s.rev {
				return nil
			}
			return []any{register{op.value, op.returnedRev}}
		},
	}
	return m.ToModel()
}

// historyCheckTimeout bounds the duration of the check of one entry's history.
const historyCheckTimeout = 20 * time.Second

// checkLinearizable returns a description of an entry whose history is not linearizable or could not be checked within
// historyCheckTimeout, or an empty string if there is none.
func checkLinearizable(ops []operation) string {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range ops {
		if op.outcome == outcomeNotApplied {
			continue
		}
		end := int64(op.returned)
		if op.outcome == outcomeUnknown {
			end = math.MaxInt64
		}
		byKey[op.key] = append(byKey[op.key], porcupine.Operation{ClientId: op.client, Input: op, Call: int64(op.called), Return: end})
	}
	for key, history := range byKey {
		switch porcupine.CheckOperationsTimeout(entryModel(), history, historyCheckTimeout) {
		case porcupine.Illegal:
			return fmt.Sprintf("entry %[2]s: the history of %[1]d calls is not linearizable", len(history), key)
		case porcupine.Unknown:
			return fmt.Sprintf("entry %[2]s: the history of %[1]d calls could not be checked within %[3]v", len(history), key, historyCheckTimeout)
		}
	}
	return ""
}
