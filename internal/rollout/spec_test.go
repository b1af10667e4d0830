package rollout_test

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	. "marblelane/internal/rollout"
	"marblelane/internal/route"
)

func TestSpecCheck_bounds(t *testing.T) {
	tooLong := strings.Repeat("x", MaxNameBytes+1)
	tooMany := make([]string, MaxClasses+1)
	for want, modify := range map[string]func(*Spec){
		"tenant has 0 bytes, not 1 to 200":         func(s *Spec) { s.Tenant = "" },
		"name has 201 bytes":                       func(s *Spec) { s.Name = tooLong },
		"canary selects all servers":               func(s *Spec) { s.Canary = route.Subset{} },
		"canary.uid[0] has 0 bytes":                func(s *Spec) { s.Canary.UID = []string{""} },
		"canary.model has 1001 values, more than":  func(s *Spec) { s.Canary.Model = make([]string, 1001) },
		"budget is 0, not 1 to 1000000":            func(s *Spec) { s.Budget = 0 },
		"budget is 1000001":                        func(s *Spec) { s.Budget = MaxBudget + 1 },
		`at_end is "", not "keep"`:                 func(s *Spec) { s.AtEnd = "" },
		"classes are 101, more than 100":           func(s *Spec) { s.Classes = tooMany },
		`classes[1] "a" is there twice`:            func(s *Spec) { s.Classes = []string{"a", "a"} },
		"steps are 0, not 1 to 20":                 func(s *Spec) { s.Steps = nil },
		"steps are 21":                             func(s *Spec) { s.Steps = make([]Step, 21) },
		"steps[0].share is 1.01, not above 0 to 1": func(s *Spec) { s.Steps[0].CanaryFraction = 1.01 },
		"steps[0].share is NaN":                    func(s *Spec) { s.Steps[0].CanaryFraction = math.NaN() },
		"steps[1].share is 0.1, not above the 0.1": func(s *Spec) { s.Steps[1].CanaryFraction = 0.1 },
		"steps[1].hold_ms is -1, not 0 to":         func(s *Spec) { s.Steps[1].HoldMS = -1 },
		"steps[1].requests is -1, below 0":         func(s *Spec) { s.Steps[1].MinAttempts = -1 },
		"note is longer than 1000 bytes":           func(s *Spec) { s.Note = strings.Repeat(tooLong, 5) },
	} {
		invalid := newSpec(3)
		modify(invalid)
		s := NewState()
		_, err := s.Apply(&Command{Op: OpPost, Spec: invalid})
		require.ErrorIs(t, err, ErrInvalid)
		require.ErrorContains(t, err, want)
		require.Equal(t, marshalState(t, NewState()), marshalState(t, s), "a rejected command changed the state")
	}
}
