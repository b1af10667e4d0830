package route

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestCompare(t *testing.T) {
	canary := func(fraction float64, classes ...string) *Table {
		return &Table{Rev: 2, Routes: []Route{{Tenant: "a", Rollout: "r", Share: fraction, Classes: classes}}}
	}
	ended := canary(1, "gold")
	ended.Routes[0].Rollout = ""
	for _, c := range []struct {
		name  string
		table *Table
		older int
		want  Verdict
		finds int
	}{
		{"plain", canary(1), 1, SameReading, 0},
		{"classes", canary(0.01, "gold"), 1, DifferentReading, 1},
		{"classes, at the same schema", canary(0.01, "gold"), 2, SameReading, 0},
		{"classes, at a newer schema", canary(0.01, "gold"), 3, SameReading, 0},
		{"classes of a paused canary", canary(0, "gold"), 1, SameWhenDowngraded, 0},
		{"classes of no canary", ended, 1, SameWhenDowngraded, 0},
		{"no such schema", canary(1), 0, NoReading, 1},
		{"an invalid table", canary(1.2), 1, NoReading, 1},
		{"an invalid table, at the same schema", canary(1.2), 2, NoReading, 1},
	} {
		v, found := Compare(c.table, c.older)
		if v != c.want || len(found) != c.finds {
			t.Errorf("%s: verdict %v, findings %v", c.name, v, found)
		}
	}
	if got := fmt.Sprint(SameReading, SameWhenDowngraded, DifferentReading, NoReading, Verdict(9)); got !=
		"read alike read alike after writing it down to the older schema read otherwise not read Verdict(9)" {
		t.Error(got)
	}
}

func TestChooseSchema(t *testing.T) {
	table := func(fraction float64, classes ...string) *Table {
		return &Table{Rev: 2, Routes: []Route{{Tenant: "a", Rollout: "r", Share: fraction, Classes: classes}}}
	}
	for _, c := range []struct {
		table   *Table
		reads   []int
		version int
		want    Verdict
		finds   int
	}{
		{table(1), []int{1}, 2, SameReading, 0},
		{table(0, "gold"), []int{1}, 1, SameWhenDowngraded, 0},
		{table(0, "gold"), []int{1, 2}, 2, SameReading, 0},
		{table(1, "gold"), []int{2, 1}, 2, SameReading, 0},
		{table(1, "gold"), []int{3, 4}, 2, SameReading, 0},
		{table(1, "gold"), []int{0, 1}, 0, DifferentReading, 1},
		{table(1, "gold"), []int{1, 0}, 0, DifferentReading, 1},
		{table(1), []int{0}, 0, NoReading, 1},
		{table(1), nil, 0, NoReading, 1},
	} {
		version, v, found := ChooseSchema(c.table, c.reads)
		if version != c.version || v != c.want || len(found) != c.finds {
			t.Errorf("%+v for readers of %v: version %d, verdict %v, findings %v", c.table.Routes, c.reads, version, v, found)
		}
	}
}

// drawTable generates tables with names that testNames contains, and with some others. No table has the class "other".
func drawTable(t *rapid.T) *Table {
	subset := rapid.Custom(func(t *rapid.T) Subset {
		some := func(of ...string) []string {
			return nilIfEmpty(rapid.SliceOfNDistinct(rapid.SampledFrom(of), 0, 2, rapid.ID[string]).Draw(t, "names"))
		}
		return Subset{
			Model: some("m4", "m5", "m9"), Zone: some("east", "west", "mars"), UID: some("u1", "u2"),
			PodGroup: nilIfEmpty(rapid.SliceOfNDistinct(rapid.IntRange(0, 1), 0, 2, rapid.ID[int]).Draw(t, "groups")),
		}
	})
	table := &Table{Rev: rapid.Int64Range(2, 1<<40).Draw(t, "rev"), Closed: 1}
	for _, tenant := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "nobody"}), 0, 3, rapid.ID[string]).
		Draw(t, "tenants") {
		table.Routes = append(table.Routes, Route{
			Tenant: tenant, Base: subset.Draw(t, "base"), Canary: subset.Draw(t, "canary"),
			Share:   rapid.SampledFrom([]float64{0, 0.02, 0.5, 1}).Draw(t, "share"),
			Rollout: rapid.SampledFrom([]string{"", "r", "s"}).Draw(t, "rollout"),
			Step:    rapid.IntRange(0, 4).Draw(t, "step"), Budget: rapid.Bool().Draw(t, "budget"),
			Late: rapid.Bool().Draw(t, "late"), Note: rapid.SampledFrom([]string{"", "n"}).Draw(t, "note"),
			Classes: nilIfEmpty(rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"gold", "silver", "lost"}), 0, 3,
				rapid.ID[string]).Draw(t, "classes")),
		})
	}
	return table
}
