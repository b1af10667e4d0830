package scenario

import (
	"fmt"
	"slices"
	"strings"
)

// Ways in which a client abandons a request before the response.
const (
	LeaveClose     = "close"      // the client closes the connection
	LeaveHalfClose = "half-close" // the client closes the sending side and goes on reading
	LeaveReset     = "reset"      // the client resets the connection
)

// LeaveModes returns the ways in which a client can abandon a request.
func LeaveModes() []string { return []string{LeaveClose, LeaveHalfClose, LeaveReset} }

func (s *Scenario) checkLeaveModes() *invalidKey {
	for i, mode := range s.Traffic.LeaveModes {
		if !slices.Contains(LeaveModes(), mode) {
			return invalid(fmt.Sprintf("traffic.leave[%d]", i), "unknown mode %q; the modes are %s", mode, strings.Join(LeaveModes(), ", "))
		}
	}
	return nil
}
