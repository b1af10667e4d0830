package scenario

import (
	"fmt"
	"slices"
	"strings"
)

// How a client leaves before its answer.
const (
	LeaveClose     = "close"      // it closes the connection
	LeaveHalfClose = "half-close" // it ends its sending and reads what comes
	LeaveReset     = "reset"      // it resets the connection
)

// LeaveModes lists the ways in which a client leaves early.
func LeaveModes() []string { return []string{LeaveClose, LeaveHalfClose, LeaveReset} }

func (s *Scenario) checkLeaveModes() *invalidKey {
	for i, mode := range s.Traffic.LeaveModes {
		if !slices.Contains(LeaveModes(), mode) {
			return invalid(fmt.Sprintf("traffic.leave[%d]", i), "%q is no way to leave; they are %s", mode, strings.Join(LeaveModes(), ", "))
		}
	}
	return nil
}
