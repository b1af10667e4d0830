package route

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"slices"

	"marblelane/balance"
)

// nowhere is the number of no zone, no model and no class. Servers of names unknown to the settings have -1.
const nowhere = math.MinInt

// mostSkipped bounds what Bind tells of a table that fits the settings badly.
const mostSkipped = 100

// RolloutID is the number by which balancers know a tenant's rollout over its whole life, on every sidecar and after
// every restart. It is never 0.
func RolloutID(tenant, rollout string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d:", len(tenant)) // else "a","bc" were "ab","c"
	io.WriteString(h, tenant)
	io.WriteString(h, rollout)
	return max(h.Sum64(), 1)
}

// Bind puts a table into a balancer's numbers, and tells in words what of it the settings have no name for. Such a name
// never widens a route: an unknown zone or model has no server, no requests go to a canary whose classes are all
// unknown, and a route whose tenant is unknown is left out.
func Bind(t *Table, n Names) (balance.Routes, []string) {
	b := binder{names: n}
	out := balance.Routes{Rev: t.Rev}
	for i := range t.Routes {
		if r, ok := b.route(&t.Routes[i]); ok {
			out.List = append(out.List, r)
		}
	}
	if more := b.count - len(b.skipped); more > 0 {
		b.skipped = append(b.skipped, fmt.Sprintf("and %d more", more))
	}
	return out, b.skipped
}

type binder struct {
	names   Names
	tenant  string
	skipped []string
	count   int
}

func (b *binder) skip(format string, args ...any) {
	if b.count++; b.count <= mostSkipped {
		b.skipped = append(b.skipped, fmt.Sprintf("route of tenant %q: ", b.tenant)+fmt.Sprintf(format, args...))
	}
}

func (b *binder) route(r *Route) (balance.Route, bool) {
	b.tenant = r.Tenant
	tenant, ok := b.names.Tenants[r.Tenant]
	switch {
	case r.Tenant == "" && len(b.names.Tenants) > 0:
		b.skip("left out, as the settings name tenants")
		return balance.Route{}, false
	case r.Tenant == "":
		tenant = -1
	case !ok:
		b.skip("left out, as the settings do not name the tenant")
		return balance.Route{}, false
	}
	out := balance.Route{Tenant: tenant, Base: b.subset("base", &r.Base)}
	if r.Rollout == "" {
		return out, true
	}
	out.Canary, out.CanaryFraction, out.ID = b.subset("canary", &r.Canary), r.Share, RolloutID(r.Tenant, r.Rollout)
	out.Budgeted, out.LateIsFailure = r.Budget, r.Late
	if out.Classes, ok = b.classes(r.Classes); !ok {
		// The canary stays, so that the base leaves its servers out here as everywhere: a reader of schema 1, which
		// knows no classes, does so too.
		out.CanaryFraction = 0
		b.skip("no requests go to the canary, as the settings name none of its classes")
	}
	return out, true
}

// classes reports whether a canary is left: an empty list would be all classes.
func (b *binder) classes(names []string) ([]int, bool) {
	var list []int
	for _, name := range names {
		if c, ok := b.names.Classes[name]; !ok {
			b.skip("class %q is none of the settings'", name)
		} else if !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	return list, len(list) > 0 || len(names) == 0
}

func (b *binder) subset(which string, s *Subset) balance.Subset {
	out := balance.Subset{
		Kinds: b.numbers(which+".model", s.Model, b.names.Kinds), Cells: slices.Clone(listed(s.PodGroup)),
		Zones: b.numbers(which+".az", s.Zone, b.names.Zones),
	}
	for _, uid := range s.UID {
		if b.names.Server == nil {
			b.skip("%s.uid: servers are not known by uid here", which)
			out.Kinds = []int{nowhere}
			break
		}
		out.IDs = append(out.IDs, b.names.Server(uid))
	}
	return out
}

func (b *binder) numbers(where string, names []string, known map[string]int) []int {
	var list []int
	for _, name := range names {
		number, ok := known[name]
		if !ok {
			b.skip("%s: %q is none of the settings', so no server has it", where, name)
			number = nowhere
		}
		list = append(list, number)
	}
	return list
}
