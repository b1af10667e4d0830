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

// Spec is a rollout as a tenant posts it, together with the subset that the operators' file defines for SubsetName.
type Spec struct {
	Tenant        string       `json:"tenant"`
	Name          string       `json:"name"` // chosen by the tenant; cannot be reused while a rollout of this name is kept
	SubsetName    string       `json:"to"`   // name of the canary's subset in the operators' file
	Canary        route.Subset `json:"canary"`
	Classes       []string     `json:"classes,omitempty"` // classes that the rollout covers; empty: all
	Steps         []Step       `json:"steps"`
	Budget        int64        `json:"budget"` // number of failures that the rollout may cause
	LateIsFailure bool         `json:"late"`   // a response after the latency objective counts as a failure
	AtEnd         string       `json:"at_end"` // AtEndKeep or AtEndReturn
	Note          string       `json:"note,omitempty"`
}

// Values of Spec.AtEnd: what happens to a canary that has completed all its steps.
const (
	AtEndKeep   = "keep"   // the canary becomes the base
	AtEndReturn = "return" // the base stays as it is
)

// Step is the fraction of the tenant's requests that goes to the canary, and the conditions for the next step.
type Step struct {
	CanaryFraction float64 `json:"share"`    // above 0, at most 1, higher than that of the step before
	HoldMS         int64   `json:"hold_ms"`  // minimum duration of the step
	MinAttempts    int64   `json:"requests"` // minimum number of canary attempts that have ended in the step
}

// Validate returns an error for the first field of a posted rollout that is out of its bound. The error wraps ErrInvalid
// and names the field and the bound.
func (s *Spec) Validate() error {
	for _, field := range []struct{ name, value string }{{"tenant", s.Tenant}, {"name", s.Name}, {"to", s.SubsetName}} {
		if err := checkName(field.name, field.value); err != nil {
			return err
		}
	}
	switch {
	case len(s.Name) > MaxRolloutNameBytes:
		return fmt.Errorf("%w: name has %d bytes, not 1 to %d", ErrInvalid, len(s.Name), MaxRolloutNameBytes)
	case strings.Contains(s.Name, rolloutIDSeparator):
		return fmt.Errorf("%w: name has a %s, which is kept for telling rollouts of one name apart",
			ErrInvalid, rolloutIDSeparator)
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

// selectsAll reports whether all lists of a subset are empty, so that it selects all servers.
func selectsAll(s route.Subset) bool {
	return len(s.Model) == 0 && len(s.PodGroup) == 0 && len(s.Zone) == 0 && len(s.UID) == 0
}

// equalJSON reports whether two values have the same stored form, in which an empty list equals an absent one.
func equalJSON(a, b any) bool {
	x, errA := json.Marshal(a)
	y, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(x, y)
}
