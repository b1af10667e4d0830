package scenario

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const memberScenario = `
title = "x"
length = "10s"
[sidecars]
count = 6
[members]
seeds = "2"
late = 2
late_at = "4s"
[[fault]]
at = "1s"
for = "2s"
kind = "members-cut"
sidecars = "late"
way = "in"
[[fault]]
at = "2s"
for = "1s"
kind = "sidecar-kill"
[expect]
members = 6
`

func TestParse_memberErrors(t *testing.T) {
	for name, c := range map[string]struct{ old, to, key string }{
		"late without late_at":                   {`late_at = "4s"`, ``, "members.late_at"},
		"all sidecars are late":                  {`late = 2`, `late = 6`, "members.late"},
		"unknown seed":                           {`seeds = "2"`, `seeds = "#4"`, "members.seeds"},
		"late sidecars as seeds":                 {`seeds = "2"`, `seeds = "late"`, "members.seeds"},
		"more late sidecars than names to reuse": {`late = 2`, "late = 4\nreuse_names = true", "members.reuse_names"},
		"no program":                             {`count = 6`, "count = 6\nprogram = \"none\"", "members"},
		"unknown way":                            {`way = "in"`, `way = "out"`, "fault[0].way"},
		"way of another fault":                   {`kind = "members-cut"`, `kind = "cut"`, "fault[0].way"},
		"slow without a latency":                 {"kind = \"members-cut\"\nsidecars = \"late\"\nway = \"in\"", `kind = "members-slow"`, "fault[0].latency"},
		"no expected members":                    {`members = 6`, `members = 0`, "expect.members"},
		"expectation without members":            {"[members]\nseeds = \"2\"\nlate = 2\nlate_at = \"4s\"", ``, "members"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("bad.toml", []byte(strings.Replace(memberScenario, c.old, c.to, 1)))
			var e *Error
			if assert.ErrorAs(t, err, &e) {
				assert.Equal(t, c.key, e.Key, e.Text)
			}
		})
	}
}

// A sidecar that starts late is not a seed. Before its start it gets no requests and no process faults. It can reuse
// the name of another sidecar.
func TestPlan_lateSidecars(t *testing.T) {
	s, err := Parse("good.toml", []byte(strings.Replace(memberScenario, `late = 2`, "late = 2\nreuse_names = true", 1)))
	assert.NoError(t, err)
	p := s.Plan(3)
	assert.Len(t, p.Seeds, 2)
	assert.Subset(t, []int{0, 1, 2, 3}, p.Seeds)
	assert.Equal(t, []int{4, 5}, p.Faults[0].Sidecars)
	assert.Equal(t, []int{0, 1, 2, 3}, p.Faults[1].Sidecars)
	assert.Equal(t, []string{"n0", "n1", "n2", "n3", "n0", "n1"}, sidecarNames(p))
	assert.Equal(t, 4, p.Settings(5)["peers_total"])
	after := 0
	for _, a := range p.Arrivals {
		if s.StartsLate(a.Sidecar) {
			assert.GreaterOrEqual(t, a.At, s.Members.LateStart.Duration())
			after++
		}
	}
	assert.NotZero(t, after)
}

func sidecarNames(p *Plan) []string {
	var out []string
	for _, one := range p.Sidecars {
		out = append(out, one.Name)
	}
	return out
}
