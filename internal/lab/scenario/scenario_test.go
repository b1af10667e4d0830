package scenario

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const validScenario = `
title = "x"
length = "5s"

[servers]
count = 8

[traffic]
load = 0.5

[[fault]]
at = "1s"
for = "2s"
kind = "slow"
servers = "25%"
size = 3
`

func TestParse_errors(t *testing.T) {
	if _, err := Parse("good.toml", []byte(validScenario)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, old, to string
		line          int
		key, text     string
	}{
		{"unknown key", `load = 0.5`, "load = 0.5\nlaod = 0.6", 10, "traffic.laod", "unknown key"},
		{"unknown table", `[traffic]`, "[trafic]", 8, "trafic", "unknown key"},
		{"no unit", `length = "5s"`, `length = "5"`, 3, "length", "needs a number and a unit"},
		{"bare number", `length = "5s"`, `length = 5`, 3, "length", "needs a number and a unit"},
		{"bare number of a fault", `size = 3`, "size = 3\nlatency = 5", 17, "fault[0].latency", "needs a number and a unit"},
		{"wrong unit", `length = "5s"`, `length = "5 kg"`, 3, "length", "needs a number and a unit"},
		{"negative rate", `load = 0.5`, `rate = -3.0`, 9, "traffic.rate", "out of range"},
		{"wrong type", `count = 8`, `count = "eight"`, 6, "servers.count", ""},
		{"unknown zone", `servers = "25%"`, `servers = "zone:atlantis"`, 15, "fault[0].servers", `unknown zone "atlantis"`},
		{"no latency", "kind = \"slow\"\nservers = \"25%\"\nsize = 3", `kind = "latency"`, 0, "fault[0].latency", "is missing"},
		{"negative latency", "kind = \"slow\"\nservers = \"25%\"\nsize = 3", "kind = \"latency\"\nlatency = \"-5ms\"", 15, "fault[0].latency", "must not be negative"},
		{"no errno", "kind = \"slow\"\nservers = \"25%\"\nsize = 3", "kind = \"sidecar-call\"\ncall = \"accept\"", 0, "fault[0].errno", "is missing"},
		{"unknown way of a cut", "kind = \"slow\"\nservers = \"25%\"\nsize = 3", "kind = \"cut\"\nway = \"in\"", 15, "fault[0].way", "must be one of to, from, both"},
		{"replica of a stand-in", "kind = \"slow\"\nservers = \"25%\"\nsize = 3", `kind = "copy-kill"`, 14, "fault[0].kind", "replicas of the list service"},
		{"fault of members without members", "kind = \"slow\"\nservers = \"25%\"\nsize = 3", `kind = "members-refuse"`, 14, "fault[0].kind", "needs a section members"},
		{"unknown fault", `kind = "slow"`, `kind = "sloow"`, 14, "fault[0].kind", "unknown kind of fault"},
		{"too many servers", `servers = "25%"`, `servers = "9"`, 15, "fault[0].servers", "up to 8"},
		{"unknown server", `servers = "25%"`, `servers = "#8"`, 15, "fault[0].servers", "unknown number #8"},
		{"size", `size = 3`, `size = 0.5`, 16, "fault[0].size", "must be between"},
		{"no duration", `for = "2s"`, ``, 0, "fault[0].for", "is missing"},
		{"fault after the run", `at = "1s"`, `at = "6s"`, 12, "fault[0].at", "must be within the run"},
		{"way", `size = 3`, "size = 3\nway = \"up\"", 17, "fault[0].way", "only a cut"},
		{"share of another fault", `size = 3`, "size = 3\nshare = 0.5", 17, "fault[0].share", "accept-late"},
		{"unknown leave mode", `load = 0.5`, "load = 0.5\nleave = [\"close\", \"run\"]", 10, "traffic.leave[1]", "unknown mode"},
		{"pipelined", `load = 0.5`, "load = 0.5\npipelined = 2.0", 10, "traffic.pipelined", "out of range"},
		{"size of a leave", "for = \"2s\"\nkind = \"slow\"\nservers = \"25%\"\nsize = 3", "kind = \"leave\"\nsize = 2", 14, "fault[0].size", "must be between"},
		{"silent", `size = 3`, "size = 3\nsilent = true", 17, "fault[0].silent", "only an idle-close"},
		{"rush without every", "for = \"2s\"\nkind = \"slow\"\nservers = \"25%\"", `kind = "rush"`, 0, "fault[0].every", "from one sidecar to the next"},
		{"size of an idle-fill", "kind = \"slow\"\nservers = \"25%\"\nsize = 3", "kind = \"idle-fill\"\nsize = 0", 15, "fault[0].size", "must be between"},
		{"servers of a whole list", `kind = "slow"`, `kind = "list-whole"`, 15, "fault[0].servers", "does not act on servers"},
		{"sidecar-term without every", "for = \"2s\"\nkind = \"slow\"\nservers = \"25%\"\nsize = 3", `kind = "sidecar-term"`, 0, "fault[0].every", "from one sidecar to the next"},
		{"class dist", `[traffic]`, "[[class]]\nname = \"a\"\nshare = 1\nwork = \"1ms\"\naim = \"1s\"\ndeadline = \"4s\"\ndist = \"flat\"\n[traffic]", 14, "class[0].dist", "must be lognormal or exp"},
		{"slots", `[traffic]`, "[[servers.kind]]\nname = \"a\"\nshare = 1\nslots_per_core = [4, 2]\n[traffic]", 11, "servers.kind[0].slots_per_core", "the smaller one first"},
		{"class without aim", `[traffic]`, "[[class]]\nname = \"a\"\nshare = 1\nwork = \"1ms\"\ndeadline = \"4s\"\n[traffic]", 0, "class[0].aim", "at most the deadline"},
		{"deadline without a unit", `[traffic]`, "[[class]]\nname = \"a\"\ndeadline = 4\n[traffic]", 10, "class[0].deadline", "needs a number and a unit"},
		{"class effect", `[traffic]`, "[[class]]\nname = \"a\"\nshare = 1\nwork = \"1ms\"\naim = \"1s\"\ndeadline = \"4s\"\neffect = \"maybe\"\n[traffic]", 14, "class[0].effect", "must be safe or unsafe"},
		{"invalid TOML", `[servers]`, `[servers`, 5, "", ""},
		{"invariant", `[traffic]`, "[expect]\nbreaks = [\"honesty\"]\n[traffic]", 9, "expect.breaks[0]", "unknown invariant"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validScenario, c.old, c.to, 1)
			_, err := Parse("dir/bad.toml", []byte(text))
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("got %v", err)
			}
			if e.File != "dir/bad.toml" || !strings.Contains(e.Text, c.text) {
				t.Errorf("got %v", err)
			}
			if c.line > 0 && e.Line != c.line || e.Line == 0 {
				t.Errorf("line %d, want %d: %v", e.Line, c.line, err)
			}
			if c.key != "" && e.Key != c.key {
				t.Errorf("key %q, want %q", e.Key, c.key)
			}
		})
	}
}

func scheduleBytes(t testing.TB, s *Scenario, seed uint64) []byte {
	var b bytes.Buffer
	if _, err := s.Plan(seed).WriteTo(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// The same seed yields the same schedule on any machine.
func TestPlan_schedule(t *testing.T) {
	s, err := Parse("good.toml", []byte(validScenario))
	if err != nil {
		t.Fatal(err)
	}
	one := scheduleBytes(t, s, 7)
	if !bytes.Equal(one, scheduleBytes(t, s, 7)) {
		t.Error("two plans of seed 7 have different schedules")
	}
	if bytes.Equal(one, scheduleBytes(t, s, 8)) {
		t.Error("seeds 7 and 8 have the same schedule")
	}
	const want = "62c6d4453ffb1cc0"
	if got := fmt.Sprintf("%x", sha256.Sum256(one))[:16]; got != want {
		t.Errorf("schedule of seed 7 is %s, want %s", got, want)
	}
}

// A staggered fault happens to one sidecar after another.
func TestPlan_oneAfterOther(t *testing.T) {
	s, err := Parse("good.toml", []byte(validScenario+"[[fault]]\nat = \"3s\"\nevery = \"500ms\"\nkind = \"sidecar-term\"\nsidecars = \"3\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	var at []string
	for _, f := range s.Plan(1).Faults[1:] {
		at = append(at, fmt.Sprintf("%v %d", f.At, len(f.Sidecars)))
	}
	if got := strings.Join(at, ", "); got != "3s 1, 3.5s 1, 4s 1" {
		t.Errorf("SIGTERM at %s, want 3s, 3.5s and 4s to one sidecar each", got)
	}
}

// SIGKILL comes after the longest deadline, at most 3 s, and ServiceAfterTerm.
func TestScenario_killDelay(t *testing.T) {
	for deadline, want := range map[string]string{"800ms": "1.5s", "4s": "3.7s"} {
		t.Run(deadline, func(t *testing.T) {
			s, err := Parse("good.toml", []byte(validScenario+"[[class]]\nname = \"a\"\nshare = 1\nwork = \"1ms\"\naim = \"800ms\"\ndeadline = \""+deadline+"\"\n"))
			if err != nil {
				t.Fatal(err)
			}
			if got := s.KillDelay().String(); got != want {
				t.Errorf("SIGKILL after %s, want %s", got, want)
			}
		})
	}
}

// All drawn arrivals are within the run, and drawn indexes are valid.
func TestPlan_drawnValues(t *testing.T) {
	s, err := Parse("good.toml", []byte(validScenario+"\n[[fault]]\nat = \"1s\"\nkind = \"replace\"\nservers = \"50%\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		p := s.Plan(rapid.Uint64Range(1, 1<<60).Draw(t, "seed"))
		last := p.Arrivals[0].At
		for _, a := range p.Arrivals {
			if a.At < last || a.At >= s.Length.Duration() || a.Work < 0 || a.Sidecar >= len(p.Sidecars) {
				t.Fatalf("invalid arrival %+v after one at %v", a, last)
			}
			last = a.At
		}
		for _, f := range p.Faults {
			for _, i := range append(f.Servers, f.Replacements...) {
				if i >= len(p.Servers) || p.Servers[i].Spare != (i >= s.Servers.Count) {
					t.Fatalf("fault %+v selects an unknown server, or a spare among the servers", f)
				}
			}
		}
	})
}

// Exponential work and attempt noise have the configured mean and coefficient of variation. A client attempt has the
// same work each time at the same server.
func TestPlan_work(t *testing.T) {
	s, err := Parse("work.toml", []byte(`title = "work"
length = "100s"
[traffic]
rate = 500
[[class]]
name = "a"
share = 1
work = "80ms"
dist = "exp"
attempt_noise = 0.4
aim = "1s"
deadline = "2s"
`))
	if err != nil {
		t.Fatal(err)
	}
	spread := func(x func(i int) float64) (mean, cv float64) {
		const n = 40000
		sum, squares := 0.0, 0.0
		for i := range n {
			sum += x(i)
			squares += x(i) * x(i)
		}
		mean = sum / n
		return mean, math.Sqrt(squares/n-mean*mean) / mean
	}
	p := s.Plan(3)
	if mean, cv := spread(func(i int) float64 { return p.Arrivals[i].Work }); math.Abs(mean-80) > 2 || math.Abs(cv-1) > 0.03 {
		t.Errorf("work has mean %.1f ms and cv %.2f, want 80 ms and 1", mean, cv)
	}
	c := &s.Classes[0]
	if mean, cv := spread(func(i int) float64 { return c.AttemptWorkFactor(uint64(i), 3) }); math.Abs(mean-1) > 0.02 || math.Abs(cv-0.4) > 0.02 {
		t.Errorf("attempt factors have mean %.2f and cv %.2f, want 1 and 0.4", mean, cv)
	}
	if c.AttemptWorkFactor(5, 3) != c.AttemptWorkFactor(5, 3) || c.AttemptWorkFactor(5, 3) == c.AttemptWorkFactor(5, 4) {
		t.Error("factor of one attempt at one server is not constant, or equal at two servers")
	}
}

func TestPlan_minCrossZone(t *testing.T) {
	const two = `title = "two zones"
length = "4s"
[sidecars]
count = 2
[servers]
count = 2
pod_size = 1
[[servers.kind]]
name = "one"
share = 1
cores = 1
[traffic]
load = LOAD
[network]
zones = ["a", "b"]
`
	for load, want := range map[string][2]float64{"0.3": {0, 0.05}, "1.8": {0.3, 0.6}} { // 1.8 loads each zone at nearly twice its capacity
		t.Run(load, func(t *testing.T) {
			s, err := Parse("two.toml", []byte(strings.Replace(two, "LOAD", load, 1)))
			if err != nil {
				t.Fatal(err)
			}
			if got := s.Plan(1).MinCrossZone(); !(got >= want[0] && got <= want[1]) {
				t.Errorf("minimum fraction of work across zones is %v, want within %v", got, want)
			}
		})
	}
}
