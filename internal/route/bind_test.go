package route

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"marblelane/balance"
)

func serverID(uid string) balance.ServerID {
	h := fnv.New64a()
	h.Write([]byte(uid))
	return balance.ServerID(h.Sum64())
}

func testNames() NameIndexes {
	return NameIndexes{
		Tenants: map[string]int{"a": 0, "b": 1, "c": 2}, Classes: map[string]int{"gold": 0, "silver": 1, "other": 2},
		Zones: map[string]int{"east": 0, "west": 1}, Kinds: map[string]int{"m4": 0, "m5": 1}, Server: serverID,
	}
}

func TestBind(t *testing.T) {
	canary := Subset{Model: []string{"m5", "m9"}, PodGroup: []int{3}, Zone: []string{"mars"}, UID: []string{"u"}}
	got, skipped := Bind(&Table{Rev: 9, Routes: []Route{
		{Tenant: "a", Base: Subset{Zone: []string{"west"}}, Canary: canary, Share: 0.5, Rollout: "r", Budget: true, Late: true,
			Classes: []string{"silver", "lost", "gold", "gold"}},
		{Tenant: "b", Canary: Subset{Model: []string{"m5"}, UID: []string{"v"}}, Share: 1, Rollout: "r", Budget: true,
			Classes: []string{"lost"}},
		{Tenant: "c", Canary: canary, Share: 1, Budget: true},
		{Tenant: "nobody", Share: 1, Rollout: "r"},
		{Tenant: "", Share: 1, Rollout: "r"},
	}}, testNames())
	want := balance.Routes{Rev: 9, List: []balance.Route{
		{
			Tenant: 0, Classes: []int{1, 0}, Base: balance.Subset{Zones: []int{1}}, CanaryFraction: 0.5, ID: RolloutID("a", "r"),
			Canary: balance.Subset{
				Kinds: []int{1, math.MinInt}, Cells: []int{3}, Zones: []int{math.MinInt}, IDs: []balance.ServerID{serverID("u")},
			},
			Budgeted: true, LateIsFailure: true,
		},
		{
			Tenant: 1, ID: RolloutID("b", "r"), Budgeted: true,
			Canary: balance.Subset{Kinds: []int{1}, IDs: []balance.ServerID{serverID("v")}},
		},
		{Tenant: 2},
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	messages := strings.Join(skipped, "\n")
	for _, word := range []string{`"lost"`, `"m9"`, `"mars"`, `"nobody"`, "settings name tenants", "no requests go to the canary"} {
		if !strings.Contains(messages, word) {
			t.Errorf("%s is missing from the messages\n%s", word, messages)
		}
	}
}

func TestBind_noTenants(t *testing.T) {
	table := &Table{Rev: 1, Routes: []Route{{Base: Subset{UID: []string{"u"}}}, {Tenant: "a"}}}
	got, skipped := Bind(table, NameIndexes{})
	want := []balance.Route{{Tenant: -1, Base: balance.Subset{Kinds: []int{math.MinInt}}}}
	if diff := cmp.Diff(want, got.List); diff != "" || len(skipped) != 2 {
		t.Error(diff, skipped)
	}
}

// TestBind_unknownNames verifies that names missing from the settings never widen a subset to all servers, nor match
// the servers whose own zone or model is unknown.
func TestBind_unknownNames(t *testing.T) {
	names := NameIndexes{Tenants: testNames().Tenants}
	for _, s := range []Subset{{Zone: []string{"east"}}, {Model: []string{"m4"}}, {UID: []string{"u"}}, {PodGroup: []int{1}}} {
		table := &Table{Rev: 1, Routes: []Route{{Tenant: "a", Base: s, Canary: s, Share: 1, Rollout: "r"}}}
		r, _ := Bind(table, names)
		for _, got := range []balance.Subset{r.List[0].Base, r.List[0].Canary} {
			if len(got.Kinds)+len(got.Cells)+len(got.Zones)+len(got.IDs) == 0 {
				t.Errorf("%+v selects all servers", s)
			}
			if slices.Contains(append(got.Kinds, got.Zones...), -1) { // matches each server whose own zone or model is unknown
				t.Errorf("%+v is bound to %+v, which matches servers of unknown zone or model", s, got)
			}
		}
	}
}

func TestBind_boundedSkips(t *testing.T) {
	table := &Table{Rev: 1}
	for i := range MaxEntries {
		table.Routes = append(table.Routes, Route{Tenant: fmt.Sprint(i)})
	}
	if _, skipped := Bind(table, NameIndexes{}); len(skipped) != maxSkipped+1 || skipped[maxSkipped] != "and 9900 more" {
		t.Error(len(skipped), skipped[len(skipped)-1])
	}
}

func TestRolloutID(t *testing.T) {
	seen := map[uint64]string{}
	for _, pair := range [][2]string{{"a", "bc"}, {"ab", "c"}, {"abc", ""}, {"", "abc"}, {"", ""}, {"a", "2:bc"}, {"1:a", "bc"}} {
		id := RolloutID(pair[0], pair[1])
		if other, twice := seen[id]; id == 0 || twice {
			t.Errorf("rollout %q has ID %d, like %s", pair, id, other)
		}
		seen[id] = fmt.Sprint(pair)
	}
	if id := RolloutID("acme", "m5-try"); id != 0x4a03ec50b49e2fa3 {
		t.Errorf("RolloutID = %#x, but other versions use 0x4a03ec50b49e2fa3", id)
	}
}
