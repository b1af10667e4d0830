package rollout

// This file checks and copies what a rollout is specified as.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"marblelane/internal/route"
)

// Check finds what a posted rollout lacks, and names the field and its bound.
func (s *Spec) Check() error {
	for _, f := range []struct{ name, value string }{{"tenant", s.Tenant}, {"name", s.Name}, {"to", s.To}} {
		if err := checkName(f.name, f.value); err != nil {
			return err
		}
	}
	switch {
	case len(s.Name) > MaxRollout:
		return fmt.Errorf("%w: name has %d bytes, not 1 to %d", ErrInvalid, len(s.Name), MaxRollout)
	case strings.Contains(s.Name, idMark):
		return fmt.Errorf("%w: name has a %s, which is kept for telling rollouts of one name apart", ErrInvalid, idMark)
	case empty(s.Canary):
		return fmt.Errorf("%w: canary selects all servers, it needs at least one list", ErrInvalid)
	case s.Budget < 1 || s.Budget > MaxBudget:
		return fmt.Errorf("%w: budget is %d, not 1 to %d", ErrInvalid, s.Budget, MaxBudget)
	case s.AtEnd != Keep && s.AtEnd != Return:
		return fmt.Errorf("%w: at_end is %q, not %q or %q", ErrInvalid, s.AtEnd, Keep, Return)
	case len(s.Note) > MaxNote:
		return fmt.Errorf("%w: note is longer than %d bytes", ErrInvalid, MaxNote)
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
	last := 0.0
	for i, st := range steps {
		switch {
		case !(st.Share > 0 && st.Share <= 1):
			return fmt.Errorf("%w: steps[%d].share is %v, not above 0 to 1", ErrInvalid, i, st.Share)
		case st.Share <= last:
			return fmt.Errorf("%w: steps[%d].share is %v, not above the %v before", ErrInvalid, i, st.Share, last)
		case st.HoldMS < 0 || st.HoldMS > MaxHoldMS:
			return fmt.Errorf("%w: steps[%d].hold_ms is %d, not 0 to %d", ErrInvalid, i, st.HoldMS, int64(MaxHoldMS))
		case st.Requests < 0:
			return fmt.Errorf("%w: steps[%d].requests is %d, below 0", ErrInvalid, i, st.Requests)
		}
		last = st.Share
	}
	return nil
}

func checkName(field, value string) error {
	if value == "" || len(value) > MaxName {
		return fmt.Errorf("%w: %s has %d bytes, not 1 to %d", ErrInvalid, field, len(value), MaxName)
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
	for _, l := range lists {
		if len(l.values) > MaxSelect {
			return fmt.Errorf("%w: %s.%s has %d values, more than %d", ErrInvalid, field, l.name, len(l.values), MaxSelect)
		}
		for i, v := range l.values {
			if err := checkName(fmt.Sprintf("%s.%s[%d]", field, l.name, i), v); err != nil {
				return err
			}
		}
	}
	if len(s.PodGroup) > MaxSelect {
		return fmt.Errorf("%w: %s.pod_group has %d values, more than %d", ErrInvalid, field, len(s.PodGroup), MaxSelect)
	}
	return nil
}

func (s *Spec) copy() Spec {
	out := *s
	out.Canary, out.Classes, out.Steps = cloneSubset(s.Canary), slices.Clone(s.Classes), slices.Clone(s.Steps)
	return out
}

func cloneSubset(s route.Subset) route.Subset {
	return route.Subset{Model: slices.Clone(s.Model), PodGroup: slices.Clone(s.PodGroup),
		Zone: slices.Clone(s.Zone), UID: slices.Clone(s.UID)}
}

func empty(s route.Subset) bool {
	return len(s.Model) == 0 && len(s.PodGroup) == 0 && len(s.Zone) == 0 && len(s.UID) == 0
}

// sameJSON compares by what is written down, where a list that is empty and one that is not there are alike.
func sameJSON(a, b any) bool {
	x, errA := json.Marshal(a)
	y, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(x, y)
}
