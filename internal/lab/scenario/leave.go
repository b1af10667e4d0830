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

// LeaveWays lists the ways in which a client leaves early.
func LeaveModes() []string { return []string{LeaveClose, LeaveHalfClose, LeaveReset} }

func (s *Scenario) checkLeave(bad func(string, string, ...any) *invalidKey) *invalidKey {
	for i, way := range s.Traffic.LeaveModes {
		if !slices.Contains(LeaveModes(), way) {
			return bad(fmt.Sprintf("traffic.leave[%d]", i), "%q is no way to leave; they are %s", way, strings.Join(LeaveModes(), ", "))
		}
	}
	return nil
}
