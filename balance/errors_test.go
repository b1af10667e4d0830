package balance

import (
	"errors"
	"math"
	"testing"
)

// Handle returns an *EventError that names the event and the field.
func TestErrors_event(t *testing.T) {
	for _, test := range []struct {
		event       Event
		name, field string
		text        string
	}{
		{BudgetGrant{Units: 1}, "BudgetGrant", "ID", "BudgetGrant.ID is 0"},
		{CanaryLease{Until: math.NaN()}, "CanaryLease", "Until", "CanaryLease.Until is NaN"},
		{
			Routes{Rev: 1, List: []Route{{Tenant: -1, CanaryFraction: math.NaN()}}}, "Routes", "List[0].CanaryFraction",
			"Routes.List[0].CanaryFraction is NaN, not 0 to 1",
		},
		{Request{ID: 1, Class: 9}, "Request", "Class", "Request.Class is 9, there are 5"},
		{Outcome{Request: 7}, "Outcome", "Request", "Outcome.Request is 7, which is not known"},
	} {
		h := newHarness(t, baseConfig(), identicalServers(2)...)
		_, err := h.b.Handle(h.now, test.event)
		var got *EventError
		if !errors.As(err, &got) || got.Event != test.name || got.Field != test.field || err.Error() != test.text {
			t.Errorf("%+v: %+v (%v), want %q", test.event, got, err, test.text)
		}
	}
}

// New returns a *ConfigError that names the field.
func TestErrors_config(t *testing.T) {
	cfg := baseConfig()
	cfg.Classes[1].Deadline = 0
	_, err := New(cfg)
	var got *ConfigError
	if !errors.As(err, &got) || got.Field != "Classes[1].Deadline" || err.Error() != "Classes[1].Deadline is 0, not above 0" {
		t.Errorf("%+v (%v)", got, err)
	}
}
