package rollout

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"marblelane/internal/route"
)

// Spec is a rollout as a tenant posts it, with the subsets that the operators' file gives for its names.
type Spec struct {
	Tenant        string       `json:"tenant"`
	Name          string       `json:"name"` // chosen by the tenant; not used again while it is remembered
	SubsetName    string       `json:"to"`   // of the canary, in the operators' file
	Canary        route.Subset `json:"canary"`
	Classes       []string     `json:"classes,omitempty"` // empty: all
	Steps         []Step       `json:"steps"`
	Budget        int64        `json:"budget"` // failures that the rollout may cost
	LateIsFailure bool         `json:"late"`   // an answer after the latency objective is a failure, too
	AtEnd         string       `json:"at_end"` // AtEndKeep or AtEndReturn
	Note          string       `json:"note,omitempty"`
}

// What becomes of a canary that has completed all its steps.
const (
	AtEndKeep   = "keep"   // the canary becomes the base
	AtEndReturn = "return" // the base stays
)

// Step is a fraction of the tenant's requests, and what it takes to go on from it.
type Step struct {
	CanaryFraction float64 `json:"share"`    // above 0, at most 1, growing from step to step
	HoldMS         int64   `json:"hold_ms"`  // minimum time
	MinAttempts    int64   `json:"requests"` // canary attempts that have ended
}

// Validate finds the first field of a posted rollout that is out of its bound. The error wraps ErrInvalid, and names the field
// and the bound.
func (s *Spec) Validate() error {
	for _, field := range []struct{ name, value string }{{"tenant", s.Tenant}, {"name", s.Name}, {"to", s.SubsetName}} {
		if err := checkName(field.name, field.value); err != nil {
			return err
		}
	}
	switch {
	case len(s.Name) > MaxRolloutNameBytes:
		return fmt.Errorf("%w: name has %d bytes, not 1 to %d", ErrInvalid, len(s.Name), MaxRolloutNameBytes)
	case strings.Contains(s.Name, idSeparator):
		return fmt.Errorf("%w: name has a %s, which is kept for telling rollouts of one name apart", ErrInvalid, idSeparator)
	case selectsAll(s.Canary):
		return fmt.Errorf("%w: canary selects all servers, it needs at least one list", ErrInvalid)
	case s.Budget < 1 || s.Budget > MaxBudget:
		return fmt.Errorf("%w: budget is %d, not 1 to %d", ErrInvalid, s.Budget, MaxBudget)
	case s.AtEnd != AtEndKeep && s.AtEnd != AtEndReturn:
		return fmt.Errorf("%w: at_end is %q, not %q or %q", ErrInvalid, s.AtEnd, AtEndKeep, AtEndReturn)
	case len(s.Note) > MaxNoteBytes:
		return fmt.Errorf("%w: note is longer than %d bytes", ErrInvalid, MaxNoteBytes)
	case len(s.Classes) > MaxClasses:
		return fmt.Errorf("%w: classes are %d, more than %d", ErrInvalid, len(s.Classes), MaxClasses)
	}
	for i, class := range s.Classes {
		if err := checkName(fmt.Sprintf("classes[%d]", i), class); err != nil {
			return err
		}
		if slices.Contains(s.Classes[:i], class) {
			return fmt.Errorf("%w: classes[%d] %q is there twice", ErrInvalid, i, class)
		}
	}
	if err := checkSubset("canary", s.Canary); err != nil {
		return err
	}
	return checkSteps(s.Steps)
}

func checkSteps(steps []Step) error {
	if len(steps) < 1 || len(steps) > MaxSteps {
		return fmt.Errorf("%w: steps are %d, not 1 to %d", ErrInvalid, len(steps), MaxSteps)
	}
	previous := 0.0
	for i, step := range steps {
		switch {
		case !(step.CanaryFraction > 0 && step.CanaryFraction <= 1):
			return fmt.Errorf("%w: steps[%d].share is %v, not above 0 to 1", ErrInvalid, i, step.CanaryFraction)
		case step.CanaryFraction <= previous:
			return fmt.Errorf("%w: steps[%d].share is %v, not above the %v before", ErrInvalid, i, step.CanaryFraction, previous)
		case step.HoldMS < 0 || step.HoldMS > MaxHoldMS:
			return fmt.Errorf("%w: steps[%d].hold_ms is %d, not 0 to %d", ErrInvalid, i, step.HoldMS, int64(MaxHoldMS))
		case step.MinAttempts < 0:
			return fmt.Errorf("%w: steps[%d].requests is %d, below 0", ErrInvalid, i, step.MinAttempts)
		}
		previous = step.CanaryFraction
	}
	return nil
}

func checkName(field, value string) error {
	if value == "" || len(value) > MaxNameBytes {
		return fmt.Errorf("%w: %s has %d bytes, not 1 to %d", ErrInvalid, field, len(value), MaxNameBytes)
	}
	if !utf8.ValidString(value) {
		return fmt.Errorf("%w: %s is no UTF-8", ErrInvalid, field)
	}
	return nil
}

func checkSubset(field string, s route.Subset) error {
	lists := []struct {
		name   string
		values []string
	}{{"model", s.Model}, {"az", s.Zone}, {"uid", s.UID}}
	for _, list := range lists {
		if len(list.values) > MaxSubsetValues {
			return fmt.Errorf("%w: %s.%s has %d values, more than %d",
				ErrInvalid, field, list.name, len(list.values), MaxSubsetValues)
		}
		for i, value := range list.values {
			if err := checkName(fmt.Sprintf("%s.%s[%d]", field, list.name, i), value); err != nil {
				return err
			}
		}
	}
	if len(s.PodGroup) > MaxSubsetValues {
		return fmt.Errorf("%w: %s.pod_group has %d values, more than %d", ErrInvalid, field, len(s.PodGroup), MaxSubsetValues)
	}
	return nil
}

func (s *Spec) clone() Spec {
	out := *s
	out.Canary = cloneSubset(s.Canary)
	out.Classes = slices.Clone(s.Classes)
	out.Steps = slices.Clone(s.Steps)
	return out
}

func cloneSubset(s route.Subset) route.Subset {
	return route.Subset{Model: slices.Clone(s.Model), PodGroup: slices.Clone(s.PodGroup),
		Zone: slices.Clone(s.Zone), UID: slices.Clone(s.UID)}
}

// selectsAll reports whether a subset names no list, and so selects all servers.
func selectsAll(s route.Subset) bool {
	return len(s.Model) == 0 && len(s.PodGroup) == 0 && len(s.Zone) == 0 && len(s.UID) == 0
}

// sameJSON compares two values by their stored form, in which an empty list and an absent one are alike.
func sameJSON(a, b any) bool {
	x, errA := json.Marshal(a)
	y, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(x, y)
}
