package scenario

// This file refuses scenarios that cannot be meant.

import (
	"fmt"
	"strconv"
	"strings"
)

// check finds what cannot be meant; it names the key by its path in the file.
func (s *Scenario) check() *invalidKey {
	bad := func(key, format string, args ...any) *invalidKey {
		return &invalidKey{key: key, text: fmt.Sprintf(format, args...)}
	}
	for _, v := range []struct {
		key    string
		v      float64
		lo, hi float64
	}{
		{"length", float64(s.Length), 1e8, 24 * 3.6e12}, {"warm_up", float64(s.WarmUp), 0, float64(s.Length)},
		{"sidecars.count", float64(s.Sidecars.Count), 1, 1000}, {"sidecars.older", float64(s.Sidecars.OlderCount), 0, float64(s.Sidecars.Count)}, {"sidecars.cores", s.Sidecars.Cores, 0.01, 1024},
		{"sidecars.memory_mb", float64(s.Sidecars.MemoryMB), 8, 1 << 20},
		{"sidecars.sockets", float64(s.Sidecars.MaxSockets), 48, 1 << 20}, {"sidecars.skew", s.Sidecars.TrafficSkew, 0, 10},
		{"servers.count", float64(s.Servers.Count), 1, 5000}, {"servers.pod_size", float64(s.Servers.PodSize), 1, 5000},
		{"servers.limited_pods", s.Servers.LimitedPods, 0, 1},
		{"servers.pod_limit", s.Servers.PodLimit[0], 0.01, s.Servers.PodLimit[1]},
		{"servers.max_conns", float64(s.Servers.MaxConns), 1, 1 << 20},
		{"servers.handshake", float64(s.Servers.HandshakeWork), 0, inf}, {"servers.idle", float64(s.Servers.IdleTimeout), 1e8, inf},
		{"servers.fall_multiple", s.Servers.OverloadMultiple, 0, inf},
		{"registry.copies", float64(s.Registry.Replicas), 0, 9}, {"registry.writers", float64(s.Registry.Writers), 0, 100},
		{"registry.watchers", float64(s.Registry.Watchers), 0, 10000}, {"registry.entries", float64(s.Registry.Entries), 0, 10000},
		{"registry.pause", float64(s.Registry.WriterPause), 0, inf}, {"registry.beat", float64(s.Registry.HeartbeatInterval), 0, 1e10},
		{"registry.most_stale", float64(s.Registry.MaxStaleness), 0, inf},
		{"network.same", float64(s.Network.SameZone), 0, 1e10}, {"network.cross", float64(s.Network.CrossZone), 0, 1e10},
		{"network.jitter", s.Network.Jitter, 0, 1},
		{"network.far", float64(s.Network.CrossRegion), 0, 1e10}, {"network.far_cost", s.Network.CrossRegionCost, 1, 100},
		{"traffic.load", s.Traffic.Load, 0, 100}, {"traffic.rate", s.Traffic.Rate, 0, 1e6},
		{"traffic.swing", s.Traffic.RateSwing, 0, 1}, {"traffic.pace", s.Traffic.Speedup, 0.1, 100},
		{"traffic.retries", float64(s.Traffic.Retries), 0, 10}, {"traffic.backoff", float64(s.Traffic.Backoff), 0, inf},
		{"traffic.try_share", s.Traffic.AttemptTimeoutFraction, 0.01, 1}, {"traffic.honour", s.Traffic.ObeysRetryAfter, 0, 1},
		{"traffic.impatient", s.Traffic.EarlyLeaveFraction, 0, 1}, {"traffic.answer", float64(s.Traffic.AnswerBytes), 0, 32 << 20},
		{"traffic.pipelined", s.Traffic.PipelinedFraction, 0, 1},
		{"discovery.notice", float64(s.Discovery.DrainDelay), 0, inf}, {"discovery.add", float64(s.Discovery.AddDelay), 0, inf},
		{"discovery.silent_notice", float64(s.Discovery.CrashDelay), 0, inf},
		{"discovery.spread", float64(s.Discovery.Spread), 0, inf},
		{"discovery.copies", float64(s.Discovery.Services), 1, 9}, {"discovery.registry", float64(s.Discovery.RegistryReplicas), 0, 9},
		{"discovery.most_stale", float64(s.Discovery.MaxStaleness), 0, inf},
		{"discovery.doubt_share", s.Discovery.SuspectFraction, 0, 1},
		{"discovery.stale", float64(s.Discovery.StaleAfter), 0, inf},
		{"rules.drain_grace", float64(s.Rules.DrainGrace), 0, inf}, {"rules.cold_from", s.Rules.InitialCapacity, 0.01, 1},
		{"rules.cold", float64(s.Rules.SlowStart), 0, inf}, {"rules.fall_multiple", s.Rules.OverloadMultiple, 0, inf},
		{"rules.fall_time", float64(s.Rules.OverloadTime), 0, inf}, {"rules.max_attempts", float64(s.Rules.MaxAttempts), 1, 10},
		{"rules.answer_slack", float64(s.Rules.AnswerSlack), 0, inf}, {"rules.cross_price", s.Rules.CrossZoneCost, 0, inf},
		{"rules.ready_within", float64(s.Rules.ReadyWithin), 0, inf},
	} {
		if !(v.v >= v.lo && v.v <= v.hi) {
			return bad(v.key, "is out of range")
		}
	}
	for i, k := range s.Servers.Kinds {
		key := fmt.Sprintf("servers.kind[%d]", i)
		switch {
		case k.Name == "":
			return bad(key+".name", "is missing")
		case !(k.Fraction > 0):
			return bad(key+".share", "is not over 0")
		case k.Cores < 1 || k.Cores > 1024:
			return bad(key+".cores", "is out of range")
		case !(k.Speed[0] > 0 && k.Speed[0] <= k.Speed[1]):
			return bad(key+".speed", "is not two figures over 0, the smaller one first")
		case k.Queue < 0:
			return bad(key+".queue", "is negative")
		case !(k.InitialCapacity > 0 && k.InitialCapacity <= 1) || k.SlowStart < 0:
			return bad(key+".cold_from", "is not in (0, 1], or cold is negative")
		}
		for _, r := range []struct {
			name   string
			r      Range
			lo, hi float64
		}{{"slots_per_core", k.SlotsPerCore, 1, 1000}, {"pause_every_s", k.PauseEvery, 0, 3600}, {"pause_ms", k.PauseLength, 0, 60000},
			{"pause_grow", k.PauseGrowth, 0, 100}} {
			if !(r.r[0] >= r.lo && r.r[0] <= r.r[1] && r.r[1] <= r.hi) {
				return bad(key+"."+r.name, "is not two figures between %g and %g, the smaller one first", r.lo, r.hi)
			}
		}
	}
	zones := map[string]bool{}
	for i, z := range s.Network.Zones {
		if z == "" || zones[z] {
			return bad(fmt.Sprintf("network.zones[%d]", i), "%q is not a name of its own", z)
		}
		zones[z] = true
	}
	if e := s.checkNetwork(zones, bad); e != nil {
		return e
	}
	if e := s.checkTraffic(bad); e != nil {
		return e
	}
	if e := s.checkRoutes(bad); e != nil {
		return e
	}
	if e := s.checkMembers(bad); e != nil {
		return e
	}
	for i := range s.Faults {
		if e := s.checkFault(&s.Faults[i], fmt.Sprintf("fault[%d]", i), bad); e != nil {
			return e
		}
	}
	for i, b := range s.Expect.MustBreak {
		if !IsInvariant(b) {
			return bad(fmt.Sprintf("expect.breaks[%d]", i), "%q is no rule; the rules are %s", b, strings.Join(InvariantNames(), ", "))
		}
	}
	return nil
}

// checkNetwork checks what says where servers and zones lie.
func (s *Scenario) checkNetwork(zones map[string]bool, bad func(string, string, ...any) *invalidKey) *invalidKey {
	seen := map[string]bool{}
	for i, region := range s.Network.Regions {
		key := fmt.Sprintf("network.regions[%d]", i)
		if len(region) == 0 {
			return bad(key, "names no zone")
		}
		for _, z := range region {
			if !zones[z] || seen[z] {
				return bad(key, "%q is no zone, or in a region already; the zones are %s", z, strings.Join(s.Network.Zones, ", "))
			}
			seen[z] = true
		}
	}
	if len(seen) > 0 && len(seen) < len(zones) {
		return bad("network.regions", "leaves out a zone: each lies in one region, or there are none")
	}
	if n, lists := len(s.Discovery.Zones), max(s.Discovery.Services, s.Discovery.RegistryReplicas); n > 0 && n != lists {
		return bad("discovery.zones", "names %d zones for %d list services", n, lists)
	}
	for i, z := range s.Discovery.Zones {
		if !zones[z] {
			return bad(fmt.Sprintf("discovery.zones[%d]", i), "unknown zone %q; the zones are %s", z, strings.Join(s.Network.Zones, ", "))
		}
	}
	if n := len(s.Network.ServersByZone); n > 0 && n != len(s.Network.Zones) {
		return bad("network.split", "has %d figures for %d zones", n, len(s.Network.Zones))
	}
	for i, n := range s.Network.ServersByZone {
		if n < 1 || n > 1000 {
			return bad(fmt.Sprintf("network.split[%d]", i), "is not between 1 and 1000")
		}
	}
	return nil
}

func (s *Scenario) checkTraffic(bad func(string, string, ...any) *invalidKey) *invalidKey {
	if e := s.checkLeave(bad); e != nil {
		return e
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		key := fmt.Sprintf("class[%d]", i)
		switch {
		case c.Name == "" || names[c.Name]:
			return bad(key+".name", "%q is not a name of its own", c.Name)
		case !(c.Fraction > 0):
			return bad(key+".share", "is not over 0")
		case c.Work <= 0:
			return bad(key+".work", "is not over 0")
		case c.Objective <= 0 || c.Deadline < c.Objective:
			return bad(key+".aim", "is not over 0 and at most the deadline")
		case c.CV < 0 || c.PriorityWeight < 0:
			return bad(key+".cv", "or worth is negative")
		case !(c.AttemptNoise >= 0 && c.AttemptNoise <= 10):
			return bad(key+".attempt_noise", "is not between 0 and 10")
		case c.Dist != "lognormal" && c.Dist != "exp":
			return bad(key+".dist", "%q is neither lognormal nor exp", c.Dist)
		case c.Dist == "exp" && c.CV > 0:
			return bad(key+".cv", "is set, but work that is drawn from an exponential has none of its own")
		case c.Effect != "safe" && c.Effect != "unsafe":
			return bad(key+".effect", "%q is neither safe nor unsafe", c.Effect)
		case c.BodyBytes < 0 || c.BodyBytes > 32<<20 || c.Effect == "safe" && c.BodyBytes > 0:
			return bad(key+".body", "cannot be: a safe class has none, others at most 32 MB")
		}
		names[c.Name] = true
	}
	for i, t := range s.Tenants {
		if t.Name == "" || names["t:"+t.Name] || !(t.Fraction > 0) || t.UsageFactor < 0 {
			return bad(fmt.Sprintf("tenant[%d].name", i), "has no name of its own, or a share or usage that cannot be")
		}
		names["t:"+t.Name] = true
	}
	return nil
}

// checkPick reads a choice: "all", "3" (so many, drawn), "20%" (drawn), "#4" (that one), "zone:NAME", "region:N",
// and for servers "pod:N" and "kind:NAME".
func (s *Scenario) checkSelector(selector string, n int, servers bool) error {
	kind, name, _ := strings.Cut(selector, ":")
	switch {
	case selector == "all":
		return nil
	case selector == "late" && !servers:
		if s.Members == nil || s.Members.LateCount == 0 || n < s.Sidecars.Count {
			return fmt.Errorf("no sidecar is late")
		}
		return nil
	case kind == "zone":
		for _, z := range s.Network.Zones {
			if z == name {
				return nil
			}
		}
		return fmt.Errorf("unknown zone %q; the zones are %s", name, strings.Join(s.Network.Zones, ", "))
	case kind == "region":
		if i, err := strconv.Atoi(name); err != nil || i < 0 || i >= len(s.Network.Regions) {
			return fmt.Errorf("there is no region %q of %d", name, len(s.Network.Regions))
		}
		return nil
	case kind == "subset" && servers:
		if !s.hasSubset(name) {
			return fmt.Errorf("unknown subset %q", name)
		}
		return nil
	case kind == "pod" && servers:
		if p, err := strconv.Atoi(name); err != nil || p < 0 || p*s.Servers.PodSize >= n {
			return fmt.Errorf("there is no pod %q", name)
		}
		return nil
	case kind == "kind" && servers:
		for _, k := range s.Servers.Kinds {
			if k.Name == name {
				return nil
			}
		}
		return fmt.Errorf("unknown kind %q", name)
	case strings.HasPrefix(selector, "#"):
		if i, err := strconv.Atoi(selector[1:]); err != nil || i < 0 || i >= n {
			return fmt.Errorf("there is no %s: they are #0 to #%d", selector, n-1)
		}
		return nil
	case strings.HasSuffix(selector, "%"):
		if p, err := strconv.ParseFloat(strings.TrimSuffix(selector, "%"), 64); err != nil || !(p > 0 && p <= 100) {
			return fmt.Errorf("%q is no share", selector)
		}
		return nil
	}
	if i, err := strconv.Atoi(selector); err != nil || i < 1 || i > n {
		return fmt.Errorf("%q is none of all, a number up to %d, #number, share%%, zone:name, pod:number, kind:name", selector, n)
	}
	return nil
}
