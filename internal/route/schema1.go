package route

// This file defines schema 1 as programs in the fleet read it. What it reads and writes must never change: those
// programs stay in use, and a table is checked with this reader before it is committed, so the reader has to interpret
// it as they do. New fields belong to a newer schema with structs of its own.

import (
	"cmp"
	"fmt"
	"slices"
)

type document1 struct {
	Schema int      `json:"schema"`
	Reads  int      `json:"reads"`
	Rev    int64    `json:"rev"`
	Closed int64    `json:"closed"`
	Routes []route1 `json:"routes"`
}

type route1 struct {
	Tenant  string  `json:"tenant"`
	Base    subset1 `json:"base,omitzero"`
	Canary  subset1 `json:"canary,omitzero"`
	Share   float64 `json:"share,omitempty"`
	Rollout string  `json:"rollout,omitempty"`
	Step    int     `json:"step,omitempty"`
	Budget  bool    `json:"budget,omitempty"`
	Late    bool    `json:"late,omitempty"`
}

type subset1 struct {
	Model    []string `json:"model,omitempty"`
	PodGroup []int    `json:"pod_group,omitempty"`
	Zone     []string `json:"az,omitempty"`
	UID      []string `json:"uid,omitempty"`
}

// readSchema1 decodes a document of schema 1. If newer is set, the schema is a newer one that readers of schema 1 may
// read.
func readSchema1(text []byte, newer bool) (*Table, error) {
	var d document1
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
		})
	}
	slices.SortFunc(t.Routes, func(a, b Route) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return t, nil
}

func (d *document1) check() error {
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

func (r *route1) check(path string) error {
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
	return checkName(path+".rollout", r.Rollout)
}

func (s *subset1) check(path string) error {
	return checkSubset(path, s.Model, s.Zone, s.UID, s.PodGroup)
}

func (s *subset1) subset() Subset {
	return Subset{Model: nilIfEmpty(s.Model), PodGroup: nilIfEmpty(s.PodGroup), Zone: nilIfEmpty(s.Zone), UID: nilIfEmpty(s.UID)}
}

// nilIfEmpty replaces an empty list by nil, so that equal lists are deeply equal.
func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// newDocument1 returns the document of a table whose routes are sorted. It omits the fields that schema 1 lacks.
func newDocument1(t *Table) *document1 {
	d := &document1{Schema: 1, Rev: t.Rev, Closed: t.Closed, Routes: make([]route1, 0, len(t.Routes))}
	for i := range t.Routes {
		r := &t.Routes[i]
		d.Routes = append(d.Routes, route1{
			Tenant: r.Tenant, Base: newSubset1(&r.Base), Canary: newSubset1(&r.Canary), Share: r.Share,
			Rollout: r.Rollout, Step: r.Step, Budget: r.Budget, Late: r.Late,
		})
	}
	return d
}

func newSubset1(s *Subset) subset1 {
	return subset1{Model: nilIfEmpty(s.Model), PodGroup: nilIfEmpty(s.PodGroup), Zone: nilIfEmpty(s.Zone), UID: nilIfEmpty(s.UID)}
}
