package scenario

// This file validates and draws selectors, the texts that select servers, sidecars and replicas of the list service.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// Selectors of one word. The others are "3" (a number of targets, drawn), "20%" (a percentage, drawn), "#4" (the target
// of this number), "zone:NAME" and "region:N". Selectors of servers can also be "pod:N", "kind:NAME" and "subset:NAME".
const (
	selectAll      = "all"
	selectLate     = "late" // sidecars that start late
	selectLeader   = "leader"
	selectFollower = "follower"
	selectMajority = "majority"
)

// isNumberSelector reports whether a selector is "#0" to "#N" with N below count.
func isNumberSelector(selector string, count int) bool {
	digits, ok := strings.CutPrefix(selector, "#")
	i, err := strconv.Atoi(digits)
	return ok && err == nil && i >= 0 && i < count
}

// checkServers validates a selector of servers.
func (s *Scenario) checkServers(selector string) error {
	kind, name, _ := strings.Cut(selector, ":")
	switch kind {
	case "subset":
		if !s.hasSubset(name) {
			return fmt.Errorf("unknown subset %q", name)
		}
		return nil
	case "pod":
		if p, err := strconv.Atoi(name); err != nil || !s.hasPod(p) {
			return fmt.Errorf("unknown pod %q", name)
		}
		return nil
	case "kind":
		if !s.hasServerKind(name) {
			return fmt.Errorf("unknown kind %q", name)
		}
		return nil
	}
	return s.checkSelector(selector, s.Servers.Count)
}

// checkSidecars validates a selector of the first count sidecars.
func (s *Scenario) checkSidecars(selector string, count int) error {
	if selector == selectLate {
		if s.Members == nil || s.Members.LateCount == 0 || count < s.Sidecars.Count {
			return fmt.Errorf("no sidecar of the selection starts late")
		}
		return nil
	}
	return s.checkSelector(selector, count)
}

// checkSelector validates a selector of a form that servers and sidecars share.
func (s *Scenario) checkSelector(selector string, count int) error {
	kind, name, _ := strings.Cut(selector, ":")
	switch {
	case selector == selectAll:
		return nil
	case kind == "zone":
		return s.checkZone(name)
	case kind == "region":
		if i, err := strconv.Atoi(name); err != nil || i < 0 || i >= len(s.Network.Regions) {
			return fmt.Errorf("unknown region %q: the number of regions is %d", name, len(s.Network.Regions))
		}
		return nil
	case strings.HasPrefix(selector, "#"):
		if !isNumberSelector(selector, count) {
			return fmt.Errorf("unknown number %s: must be #0 to #%d", selector, count-1)
		}
		return nil
	case strings.HasSuffix(selector, "%"):
		if p, err := strconv.ParseFloat(strings.TrimSuffix(selector, "%"), 64); err != nil || !(p > 0 && p <= 100) {
			return fmt.Errorf("invalid percentage %q: must be over 0%% and at most 100%%", selector)
		}
		return nil
	}
	if i, err := strconv.Atoi(selector); err != nil || i < 1 || i > count {
		return fmt.Errorf("invalid selector %q: must be all, a number up to %d, #number, percentage%%, zone:name, region:number, pod:number, kind:name or subset:name", selector, count)
	}
	return nil
}

func (s *Scenario) checkZone(name string) error {
	if !slices.Contains(s.Network.Zones, name) {
		return fmt.Errorf("unknown zone %q; the zones are %s", name, strings.Join(s.Network.Zones, ", "))
	}
	return nil
}

// checkReplicas validates a selector of replicas of the list service.
func (s *Scenario) checkReplicas(selector string) error {
	words := []string{selectLeader, selectFollower, selectMajority, selectAll}
	replicas := max(s.Registry.Replicas, s.Discovery.RegistryReplicas)
	if !slices.Contains(words, selector) && !isNumberSelector(selector, replicas) {
		return fmt.Errorf("invalid selector %q: must be one of %s, #0 to #%d", selector, strings.Join(words, ", "), replicas-1)
	}
	return nil
}

func (s *Scenario) hasPod(pod int) bool { return pod >= 0 && pod*s.Servers.PodSize < s.Servers.Count }

func (s *Scenario) hasServerKind(name string) bool {
	return slices.ContainsFunc(s.Servers.Kinds, func(k ServerKind) bool { return k.Name == name })
}

// selectServers draws the servers of a selector that checkServers has validated.
func (p *Plan) selectServers(r *rand.Rand, selector string) []int {
	count := p.Scenario.Servers.Count
	kind, name, _ := strings.Cut(selector, ":")
	switch kind {
	case "subset":
		return slices.Clone(p.Subsets[name])
	case "pod":
		return indexesWhere(count, func(i int) bool { return strconv.Itoa(p.Servers[i].Pod) == name })
	case "kind":
		return indexesWhere(count, func(i int) bool { return p.Scenario.Servers.Kinds[p.Servers[i].Kind].Name == name })
	}
	return p.selectTargets(r, selector, count, func(i int) int { return p.Servers[i].Zone })
}

// selectSidecars draws the sidecars of a selector, among the first count, that checkSidecars has validated.
func (p *Plan) selectSidecars(r *rand.Rand, selector string, count int) []int {
	if selector == selectLate {
		return indexesWhere(count, p.Scenario.StartsLate)
	}
	return p.selectTargets(r, selector, count, func(i int) int { return p.Sidecars[i].Zone })
}

// selectTargets draws the targets of a selector of a form that servers and sidecars share.
func (p *Plan) selectTargets(r *rand.Rand, selector string, count int, zoneOf func(int) int) []int {
	network := &p.Scenario.Network
	kind, name, _ := strings.Cut(selector, ":")
	switch {
	case selector == selectAll:
		return indexesWhere(count, func(int) bool { return true })
	case kind == "zone":
		return indexesWhere(count, func(i int) bool { return network.Zones[zoneOf(i)] == name })
	case kind == "region":
		return indexesWhere(count, func(i int) bool { return strconv.Itoa(network.regionOf(zoneOf(i))) == name })
	case selector[0] == '#':
		i, _ := strconv.Atoi(selector[1:])
		return []int{i}
	}
	drawn := r.Perm(count)[:drawnCount(selector, count)]
	slices.Sort(drawn)
	return drawn
}

// drawnCount returns the number of targets, out of count, that a selector "3" or "20%" draws.
func drawnCount(selector string, count int) int {
	if percent, ok := strings.CutSuffix(selector, "%"); ok {
		f, _ := strconv.ParseFloat(percent, 64)
		return max(int(math.Round(f/100*float64(count))), 1)
	}
	n, _ := strconv.Atoi(selector)
	return n
}

// indexesWhere returns the indexes below count that match.
func indexesWhere(count int, matches func(int) bool) []int {
	var out []int
	for i := range count {
		if matches(i) {
			out = append(out, i)
		}
	}
	return out
}
