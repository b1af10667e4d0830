package cluster

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// The calls of a writer on one entry, for the check that their history is linearizable.

type opKind uint8

const (
	opRead opKind = iota
	opWrite
	opRemove
)

type outcome uint8

const (
	outcomeNotApplied outcome = iota // it certainly did not happen
	outcomeOK                        // it was answered
	outcomeConflict                  // its condition did not hold
	outcomeUnknown                   // it may have happened, or may yet
)

// operation is one call and what came of it.
type operation struct {
	key              string
	client           int
	kind             opKind
	value            int64 // that a put writes; no two write the same
	condition        int64 // revision of the entry's last change; 0: there is none; -1: in any case
	outcome          outcome
	returnedRev      int64
	returnedValue    int64
	called, returned time.Duration
}

// register is one entry as the model has it.
type register struct {
	value int64 // 0: there is none
	rev   int64 // of its last change; unknownRevision: of a write without an answer
}

const unknownRevision = -1

// entryModel is one entry that is put, removed and read. A write without an answer may have happened or not, at any time
// until the end.
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
				// One that finds nothing is answered too, whatever its condition.
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

// historyCheckTimeout bounds the check of one entry's history.
const historyCheckTimeout = 20 * time.Second

// checkLinearizable names an entry whose history no order of single steps explains; empty: there is none.
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
			return fmt.Sprintf("no order of single steps explains the %d calls on entry %s", len(history), key)
		case porcupine.Unknown:
			return fmt.Sprintf("the %d calls on entry %s could not be checked within %v", len(history), key, historyCheckTimeout)
		}
	}
	return ""
}
