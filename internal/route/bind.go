package route

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"slices"

	"marblelane/balance"
)

// matchesNothing is the number of no zone, model or class. Servers whose own name the settings lack have -1.
const matchesNothing = math.MinInt

// maxSkipped bounds the messages of Bind.
const maxSkipped = 100

// RolloutID is the number by which balancers know a tenant's rollout, the same on every sidecar and after every restart.
// It is never 0.
func RolloutID(tenant, rollout string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d:", len(tenant)) // tells "a", "bc" from "ab", "c"
	io.WriteString(h, tenant)
	io.WriteString(h, rollout)
	return max(h.Sum64(), 1)
}

// Bind translates a table to a balancer's numbers, and returns messages on what it skipped, as the settings do not name
// it. A name that is not known never widens a route: an unknown zone or model has no server, no requests go to a canary
// whose classes are all unknown, and a route whose tenant is unknown is left out.
func Bind(t *Table, n NameIndexes) (balance.Routes, []string) {
	b := binder{names: n}
	out := balance.Routes{Rev: t.Rev}
	for i := range t.Routes {
		if r, ok := b.bindRoute(&t.Routes[i]); ok {
			out.List = append(out.List, r)
		}
	}
	if more := b.skippedCount - len(b.skipped); more > 0 {
		b.skipped = append(b.skipped, fmt.Sprintf("and %d more", more))
	}
	return out, b.skipped
}

// binder binds the routes of one table.
type binder struct {
	names        NameIndexes
	tenant       string
	skipped      []string
	skippedCount int
}

func (b *binder) skipf(format string, args ...any) {
	if b.skippedCount++; b.skippedCount <= maxSkipped {
		b.skipped = append(b.skipped, fmt.Sprintf("route of tenant %q: ", b.tenant)+fmt.Sprintf(format, args...))
	}
}

func (b *binder) bindRoute(r *Route) (balance.Route, bool) {
	b.tenant = r.Tenant
	tenant, ok := b.names.Tenants[r.Tenant]
	switch {
	case r.Tenant == "" && len(b.names.Tenants) > 0:
		b.skipf("left out, as the settings name tenants")
		return balance.Route{}, false
	case r.Tenant == "":
		tenant = -1
	case !ok:
		b.skipf("left out, as the settings do not name the tenant")
		return balance.Route{}, false
	}
	out := balance.Route{Tenant: tenant, Base: b.bindSubset("base", &r.Base)}
	if r.Rollout == "" {
		return out, true
	}
	out.Canary, out.CanaryFraction, out.ID = b.bindSubset("canary", &r.Canary), r.Share, RolloutID(r.Tenant, r.Rollout)
	out.Budgeted, out.LateIsFailure = r.Budget, r.Late
	if out.Classes, ok = b.bindClasses(r.Classes); !ok {
		// The canary stays, so that the base leaves its servers out, as it does for a reader of schema 1, which knows no
		// classes.
		out.CanaryFraction = 0
		b.skipf("no requests go to the canary, as the settings name none of its classes")
	}
	return out, true
}

// bindClasses are the numbers of bindClasses. It is not ok where all are unknown, as an empty list would select all bindClasses.
func (b *binder) bindClasses(names []string) (numbers []int, ok bool) {
	for _, name := range names {
		if class, known := b.names.Classes[name]; !known {
			b.skipf("class %q is none of the settings'", name)
		} else if !slices.Contains(numbers, class) {
			numbers = append(numbers, class)
		}
	}
	return numbers, len(numbers) > 0 || len(names) == 0
}

func (b *binder) bindSubset(which string, s *Subset) balance.Subset {
	out := balance.Subset{
		Kinds: b.numbersOf(which+".model", s.Model, b.names.Kinds), Cells: slices.Clone(nilIfEmpty(s.PodGroup)),
		Zones: b.numbersOf(which+".az", s.Zone, b.names.Zones),
	}
	for _, uid := range s.UID {
		if b.names.Server == nil {
			b.skipf("%s.uid: servers are not known by uid here", which)
			out.Kinds = []int{matchesNothing}
			break
		}
		out.IDs = append(out.IDs, b.names.Server(uid))
	}
	return out
}

func (b *binder) numbersOf(where string, names []string, known map[string]int) []int {
	var list []int
	for _, name := range names {
		number, ok := known[name]
		if !ok {
			b.skipf("%s: %q is none of the settings', so no server has it", where, name)
			number = matchesNothing
		}
		list = append(list, number)
	}
	return list
}
