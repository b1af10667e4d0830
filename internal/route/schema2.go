package route

// This file defines schema 2, which adds the classes and the note of a route. Once a program in the fleet reads schema
// 2, what this file reads and writes must never change, as for schema 1: new fields belong to a newer schema with
// structs of its own. It shares no struct with schema 1, so that a change cannot affect both.

import (
	"cmp"
	"fmt"
	"slices"
	"unicode/utf8"
)

type document2 struct {
	Schema int      `json:"schema"`
	Reads  int      `json:"reads"`
	Rev    int64    `json:"rev"`
	Closed int64    `json:"closed"`
	Routes []route2 `json:"routes"`
}

type route2 struct {
	Tenant  string  `json:"tenant"`
	Base    subset2 `json:"base,omitzero"`
	Canary  subset2 `json:"canary,omitzero"`
	Share   float64 `json:"share,omitempty"`
	Rollout string  `json:"rollout,omitempty"`
	Step    int     `json:"step,omitempty"`
	Budget  bool    `json:"budget,omitempty"`
	Late    bool    `json:"late,omitempty"`

	Classes []string `json:"classes,omitempty"`
	Note    string   `json:"note,omitempty"`
}

type subset2 struct {
	Model    []string `json:"model,omitempty"`
	PodGroup []int    `json:"pod_group,omitempty"`
	Zone     []string `json:"az,omitempty"`
	UID      []string `json:"uid,omitempty"`
}

// readSchema2 decodes a document of schema 2. If newer is set, the schema is a newer one that readers of schema 2 may
// read.
func readSchema2(text []byte, newer bool) (*Table, error) {
	var d document2
	if err := parseDocument(text, &d, newer); err != nil {
		return nil, err
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	t := &Table{Rev: d.Rev, Closed: d.Closed}
	for i := range d.Routes {
		r := &d.Routes[i]
		t.Routes = append(t.Routes, Route{
			Tenant: r.Tenant, Base: r.Base.subset(), Canary: r.Canary.subset(), Share: r.Share,
			Rollout: r.Rollout, Step: r.Step, Budget: r.Budget, Late: r.Late,
			Classes: nilIfEmpty(r.Classes), Note: r.Note,
		})
	}
	slices.SortFunc(t.Routes, func(a, b Route) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return t, nil
}

func (d *document2) check() error {
	if err := checkRevisions(d.Rev, d.Closed, len(d.Routes)); err != nil {
		return err
	}
	seen := make(map[string]int, len(d.Routes))
	for i := range d.Routes {
		path, r := fmt.Sprintf("routes[%d]", i), &d.Routes[i]
		if first, twice := seen[r.Tenant]; twice {
			return fieldErrorf(path+".tenant", "%q has a route already, routes[%d]", truncate(r.Tenant), first)
		}
		seen[r.Tenant] = i
		if err := r.check(path); err != nil {
			return err
		}
	}
	return nil
}

func (r *route2) check(path string) error {
	if err := checkName(path+".tenant", r.Tenant); err != nil {
		return err
	}
	if err := r.Base.check(path + ".base"); err != nil {
		return err
	}
	if err := r.Canary.check(path + ".canary"); err != nil {
		return err
	}
	if err := checkFraction(path+".share", r.Share); err != nil {
		return err
	}
	if r.Step < 0 {
		return fieldErrorf(path+".step", "%d is negative", r.Step)
	}
	if err := checkName(path+".rollout", r.Rollout); err != nil {
		return err
	}
	if err := checkNames(path+".classes", r.Classes); err != nil {
		return err
	}
	if len(r.Note) > MaxNoteBytes || !utf8.ValidString(r.Note) {
		return fieldErrorf(path+".note", "%q has %d bytes, more than %d, or is not UTF-8",
			truncate(r.Note), len(r.Note), MaxNoteBytes)
	}
	return nil
}

func (s *subset2) check(path string) error {
	return checkSubset(path, s.Model, s.Zone, s.UID, s.PodGroup)
}

func (s *subset2) subset() Subset {
	return Subset{Model: nilIfEmpty(s.Model), PodGroup: nilIfEmpty(s.PodGroup), Zone: nilIfEmpty(s.Zone), UID: nilIfEmpty(s.UID)}
}

// newDocument2 returns the document of a table whose routes are sorted.
func newDocument2(t *Table) *document2 {
	d := &document2{Schema: 2, Rev: t.Rev, Closed: t.Closed, Routes: make([]route2, 0, len(t.Routes))}
	for i := range t.Routes {
		r := &t.Routes[i]
		d.Routes = append(d.Routes, route2{
			Tenant: r.Tenant, Base: newSubset2(&r.Base), Canary: newSubset2(&r.Canary), Share: r.Share,
			Rollout: r.Rollout, Step: r.Step, Budget: r.Budget, Late: r.Late,
			Classes: nilIfEmpty(r.Classes), Note: r.Note,
		})
	}
	return d
}

func newSubset2(s *Subset) subset2 {
	return subset2{Model: nilIfEmpty(s.Model), PodGroup: nilIfEmpty(s.PodGroup), Zone: nilIfEmpty(s.Zone), UID: nilIfEmpty(s.UID)}
}
