package scenario

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const routeScenario = `
title = "x"
length = "9s"

[servers]
count = 8

[discovery]
registry = 3

[routes]
term = "2s"

[[routes.subset]]
name = "new"
servers = "25%"

[[routes.subset]]
name = "older"
kinds = ["older"]
zones = ["cork-dc"]

[[routes.tenant]]
name = "shannonside"
subsets = ["new"]

[[rollout]]
at = "2s"
tenant = "shannonside"
name = "fresh"
to = "new"
budget = 5
steps = [{ share = 0.1, hold = "1s", requests = 10 }, { share = 1 }]

[[order]]
at = "5s"
do = "pause"
rollout = "fresh"

[[fault]]
at = "3s"
for = "1s"
kind = "fail"
servers = "subset:new"
classes = ["parcel-issue"]
size = 1

[expect]
rollout_ends = { fresh = "rolled-back" }
`

// An invalid key of routes yields an error with the path of the key.
func TestParse_routeErrors(t *testing.T) {
	_, err := Parse("good.toml", []byte(routeScenario))
	require.NoError(t, err)
	for _, c := range []struct{ old, to, key, text string }{
		{`registry = 3`, `copies = 3`, "discovery.registry", "real replicas"},
		{`term = "2s"`, `term = "-2s"`, "routes.term", "must be between"},
		{`term = "2s"`, `old = 9`, "routes.old", "must be between"},
		{`term = "2s"`, `keyless = 2.0`, "routes.keyless", "must be between"},
		{`name = "older"`, `name = "new"`, "routes.subset[1].name", "used twice"},
		{`servers = "25%"`, `servers = "subset:older"`, "routes.subset[0].servers", "must not refer to another subset"},
		{`servers = "25%"`, `servers = "9"`, "routes.subset[0].servers", "up to 8"},
		{`kinds = ["older"]`, `kinds = ["oldest"]`, "routes.subset[1].kinds[0]", "unknown kind of servers"},
		{`zones = ["cork-dc"]`, `zones = ["here"]`, "routes.subset[1].zones[0]", "unknown zone"},
		{`zones = ["cork-dc"]`, `pods = [2]`, "routes.subset[1].pods[0]", "unknown pod"},
		{`subsets = ["new"]`, `subsets = ["newest"]`, "routes.tenant[0].subsets[0]", "unknown subset"},
		{`subsets = ["new"]`, `max_share = 2.0`, "routes.tenant[0].max_share", "over 0 and at most 1"},
		{`to = "new"`, `to = "newest"`, "rollout[0].to", "unknown subset"},
		{`budget = 5`, `budget = -5`, "rollout[0].budget", "must not be negative"},
		{`budget = 5`, `at_end = "stay"`, "rollout[0].at_end", "must be keep or return"},
		{`budget = 5`, `classes = ["none"]`, "rollout[0].classes[0]", "unknown class"},
		{`do = "pause"`, `do = "sleep"`, "order[0].do", "must be one of"},
		{`rollout = "fresh"`, `rollout = "stale"`, "order[0].rollout", "unknown rollout"},
		{`classes = ["parcel-issue"]`, `classes = ["none"]`, "fault[0].classes", "unknown class"},
		{`classes = ["parcel-issue"]`, `zone = "here"`, "fault[0].zone", "is unknown"},
		{`servers = "subset:new"`, `servers = "subset:newest"`, "fault[0].servers", "unknown subset"},
		{`kind = "fail"`, `kind = "drop"`, "fault[0].classes", "only a fail or slow"},
		{`"rolled-back"`, `"over"`, "expect.rollout_ends.fresh", "not one of"},
		{`[expect]`, "[expect]\nchecks = [\"honesty\"]", "expect.checks[0]", "unknown invariant"},
	} {
		t.Run(c.key, func(t *testing.T) {
			require.Contains(t, routeScenario, c.old)
			_, err := Parse("bad.toml", []byte(strings.Replace(routeScenario, c.old, c.to, 1)))
			var e *Error
			require.ErrorAs(t, err, &e)
			assert.Equal(t, c.key, e.Key)
			assert.Contains(t, e.Text, c.text)
		})
	}
}

// Subsets are drawn from the seed, and faults can select them. Drawing them changes nothing else in the plan.
func TestPlan_subsets(t *testing.T) {
	s, err := Parse("good.toml", []byte(routeScenario))
	require.NoError(t, err)
	p := s.Plan(0)
	assert.Len(t, p.Subsets["new"], 2)
	assert.Equal(t, p.Subsets["new"], p.Faults[0].Servers)
	for i := range p.Servers {
		v := &p.Servers[i]
		in := s.Servers.Kinds[v.Kind].Name == "older" && s.Network.Zones[v.Zone] == "cork-dc"
		assert.Equal(t, in, slices.Contains(p.Subsets["older"], i))
		assert.Equal(t, in, p.InSubset("older", i))
		assert.Equal(t, slices.Contains(p.Subsets["new"], i), p.InSubset("new", i))
	}
	bare, err := Parse("bare.toml", []byte(strings.Split(routeScenario, "[routes]")[0]))
	require.NoError(t, err)
	q := bare.Plan(0)
	assert.Equal(t, q.Servers, p.Servers)
	assert.Equal(t, q.Arrivals, p.Arrivals)
	assert.Equal(t, []string{"budget", "closed", "audit-true", "route-free", "rollback-final"}, s.InvariantsToCheck())
	assert.Empty(t, bare.InvariantsToCheck())
}
