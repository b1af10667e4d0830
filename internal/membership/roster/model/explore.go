package model

import "fmt"

// visitedState is a state with the event by which it was first reached.
type visitedState struct {
	state  state
	event  eventLabel
	parent int32 // index of the previous state; -1 for the initial one
}

// Explore visits each reachable state of a scenario in breadth-first order and returns the number of states found. It
// stops at the first violation of the invariant and returns it, wrapped in the events of a shortest path to that state.
func Explore(scenario Scenario) (states int, err error) {
	if maxLate := len(state{}.delayed); len(scenario.Slots) > MaxSlots || scenario.DelayedMessages > maxLate {
		return 0, fmt.Errorf("scenario with %d slots and %d delayed messages: at most %d and %d are supported",
			len(scenario.Slots), scenario.DelayedMessages, MaxSlots, maxLate)
	}
	x := newSearch(scenario)
	seen := map[state]struct{}{}
	var all []visitedState
	current := int32(-1)
	x.emit = func(event eventLabel, s state) {
		if _, known := seen[s]; !known {
			seen[s] = struct{}{}
			all = append(all, visitedState{s, event, current})
		}
	}
	x.emit(eventLabel{}, x.initialState())
	for current = 0; int(current) < len(all); current++ {
		if err := x.checkInvariant(all[current].state); err != nil {
			for i := current; i > 0; i = all[i].parent {
				err = fmt.Errorf("%v: %w", all[i].event, err)
			}
			return len(all), err
		}
		x.emitSuccessors(all[current].state)
	}
	return len(all), nil
}
