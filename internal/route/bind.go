package route

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"slices"

	"marblelane/balance"
)

// matchesNothing is a number that no zone, model or class has. It is not -1, which is the number of servers whose zone
// or model is unknown to the settings.
const matchesNothing = math.MinInt

// maxSkipped is the maximum number of messages of Bind, without the one that counts the rest.
const maxSkipped = 100

// RolloutID returns the number that balancers use for a tenant's rollout. It is the same on every sidecar and after
// every restart, and never 0.
func RolloutID(tenant, rollout string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d:", len(tenant)) // distinguishes "a", "bc" from "ab", "c"
	io.WriteString(h, tenant)
	io.WriteString(h, rollout)
	return max(h.Sum64(), 1)
}

// Bind translates the names of a table to the numbers of a balancer. It returns a message for each part that was
// skipped because the settings do not contain a name. An unknown name never widens a route: an unknown zone or model
// matches no server, a canary whose classes are all unknown gets no requests, and a route whose tenant is unknown is
// skipped.
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
	skipped      []string // at most maxSkipped messages
	skippedCount int
}

// skipf adds a message about a skipped part of the current tenant's route.
func (b *binder) skipf(format string, args ...any) {
	if b.skippedCount++; b.skippedCount <= maxSkipped {
		b.skipped = append(b.skipped, fmt.Sprintf("route of tenant %q: ", b.tenant)+fmt.Sprintf(format, args...))
	}
}

// bindRoute translates a route. ok is false if the route is skipped.
func (b *binder) bindRoute(r *Route) (balance.Route, bool) {
	b.tenant = r.Tenant
	tenant, ok := b.names.Tenants[r.Tenant]
	switch {
	case r.Tenant == "" && len(b.names.Tenants) > 0:
		b.skipf("skipped, as it has no tenant and the settings name tenants")
		return balance.Route{}, false
	case r.Tenant == "":
		tenant = -1
	case !ok:
		b.skipf("skipped, as the tenant is not in the settings")
		return balance.Route{}, false
	}
	out := balance.Route{Tenant: tenant, Base: b.bindSubset("base", &r.Base)}
	if r.Rollout == "" {
		return out, true
	}
	out.Canary, out.CanaryFraction, out.ID = b.bindSubset("canary", &r.Canary), r.Share, RolloutID(r.Tenant, r.Rollout)
	out.Budgeted, out.LateIsFailure = r.Budget, r.Late
	if out.Classes, ok = b.bindClasses(r.Classes); !ok {
		// The canary subset stays, so that the base excludes its servers, as it does for a reader of schema 1, which
		// does not know classes.
		out.CanaryFraction = 0
		b.skipf("no requests go to the canary, as none of its classes is in the settings")
	}
	return out, true
}

// bindClasses returns the numbers of classes. ok is false if all names are unknown, as an empty list would select all
// classes.
func (b *binder) bindClasses(names []string) (numbers []int, ok bool) {
	for _, name := range names {
		if class, known := b.names.Classes[name]; !known {
			b.skipf("class %q is not in the settings", name)
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
			b.skipf("%s.uid: servers have no uids here, so no server matches", which)
			out.Kinds = []int{matchesNothing}
			break
		}
		out.IDs = append(out.IDs, b.names.Server(uid))
	}
	return out
}

// numbersOf returns the numbers of names, with matchesNothing for an unknown one.
func (b *binder) numbersOf(where string, names []string, known map[string]int) []int {
	var list []int
	for _, name := range names {
		number, ok := known[name]
		if !ok {
			b.skipf("%s: %q is not in the settings, so no server matches it", where, name)
			number = matchesNothing
		}
		list = append(list, number)
	}
	return list
}
