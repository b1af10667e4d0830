package scenario

// This file validates scenarios.

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// invalidKey is the path of a key in the file and the reason why its value is invalid.
type invalidKey struct{ key, text string }

func invalid(key, format string, args ...any) *invalidKey {
	return &invalidKey{key: key, text: fmt.Sprintf(format, args...)}
}

// bound is a key with its value, minimum and maximum.
type bound struct {
	key             string
	value, min, max float64
}

// checkBounds returns the first key whose value is out of its bounds, or nil.
func checkBounds(bounds []bound) *invalidKey {
	for _, b := range bounds {
		if !(b.value >= b.min && b.value <= b.max) { // also rejects NaN
			return invalid(b.key, "is out of range: must be between %g and %g", b.min, b.max)
		}
	}
	return nil
}

var unlimited = math.Inf(1)

// Maximum values that several keys share.
const (
	maxSidecars = 1000
	maxServers  = 5000
	maxBytes    = 32 << 20 // maximum size of a request or response body
	maxDelay    = float64(10 * time.Second)
)

// check returns the first invalid key, or nil.
func (s *Scenario) check() *invalidKey {
	for _, check := range []func() *invalidKey{
		s.checkNumbers, s.checkServerKinds, s.checkNetwork, s.checkLeaveModes, s.checkClasses, s.checkTenants,
		s.checkRoutes, s.checkMembers, s.checkFaults, s.checkExpectedBreaks,
	} {
		if e := check(); e != nil {
			return e
		}
	}
	return nil
}

// checkNumbers checks the numbers whose bounds depend on no list in the file.
func (s *Scenario) checkNumbers() *invalidKey {
	return checkBounds(slices.Concat(s.fleetBounds(), s.networkBounds(), s.trafficBounds(), s.listBounds(), s.ruleBounds()))
}

func (s *Scenario) fleetBounds() []bound {
	return []bound{
		{"length", float64(s.Length), float64(100 * time.Millisecond), float64(24 * time.Hour)},
		{"warm_up", float64(s.WarmUp), 0, float64(s.Length)},
		{"sidecars.count", float64(s.Sidecars.Count), 1, maxSidecars},
		{"sidecars.older", float64(s.Sidecars.OlderCount), 0, float64(s.Sidecars.Count)},
		{"sidecars.cores", s.Sidecars.Cores, 0.01, 1024},
		{"sidecars.memory_mb", float64(s.Sidecars.MemoryMB), 8, 1 << 20},
		{"sidecars.sockets", float64(s.Sidecars.MaxSockets), 48, 1 << 20},
		{"sidecars.skew", s.Sidecars.TrafficSkew, 0, 10},
		{"servers.count", float64(s.Servers.Count), 1, maxServers},
		{"servers.pod_size", float64(s.Servers.PodSize), 1, maxServers},
		{"servers.limited_pods", s.Servers.LimitedPods, 0, 1},
		{"servers.pod_limit", s.Servers.PodLimit[0], 0.01, s.Servers.PodLimit[1]},
		{"servers.max_conns", float64(s.Servers.MaxConns), 1, 1 << 20},
		{"servers.handshake", float64(s.Servers.HandshakeWork), 0, unlimited},
		{"servers.idle", float64(s.Servers.IdleTimeout), float64(100 * time.Millisecond), unlimited},
		{"servers.fall_multiple", s.Servers.OverloadMultiple, 0, unlimited},
	}
}

func (s *Scenario) networkBounds() []bound {
	return []bound{
		{"network.same", float64(s.Network.SameZone), 0, maxDelay},
		{"network.cross", float64(s.Network.CrossZone), 0, maxDelay},
		{"network.jitter", s.Network.Jitter, 0, 1},
		{"network.far", float64(s.Network.CrossRegion), 0, maxDelay},
		{"network.far_cost", s.Network.CrossRegionCost, 1, 100},
	}
}

func (s *Scenario) trafficBounds() []bound {
	return []bound{
		{"traffic.load", s.Traffic.Load, 0, 100},
		{"traffic.rate", s.Traffic.Rate, 0, 1e6},
		{"traffic.swing", s.Traffic.RateSwing, 0, 1},
		{"traffic.pace", s.Traffic.Speedup, 0.1, 100},
		{"traffic.retries", float64(s.Traffic.Retries), 0, 10},
		{"traffic.backoff", float64(s.Traffic.Backoff), 0, unlimited},
		{"traffic.try_share", s.Traffic.AttemptTimeoutFraction, 0.01, 1},
		{"traffic.honour", s.Traffic.RetryAfterFraction, 0, 1},
		{"traffic.impatient", s.Traffic.EarlyLeaveFraction, 0, 1},
		{"traffic.answer", float64(s.Traffic.ResponseBytes), 0, maxBytes},
		{"traffic.pipelined", s.Traffic.PipelinedFraction, 0, 1},
	}
}

// listBounds returns the bounds of the keys of the list service, real or stand-in.
func (s *Scenario) listBounds() []bound {
	return []bound{
		{"registry.copies", float64(s.Registry.Replicas), 0, 9},
		{"registry.writers", float64(s.Registry.Writers), 0, 100},
		{"registry.watchers", float64(s.Registry.Watchers), 0, 10000},
		{"registry.entries", float64(s.Registry.Entries), 0, 10000},
		{"registry.pause", float64(s.Registry.WriterPause), 0, unlimited},
		{"registry.beat", float64(s.Registry.HeartbeatInterval), 0, maxDelay},
		{"registry.most_stale", float64(s.Registry.MaxStaleness), 0, unlimited},
		{"discovery.notice", float64(s.Discovery.DrainDelay), 0, unlimited},
		{"discovery.add", float64(s.Discovery.AddDelay), 0, unlimited},
		{"discovery.silent_notice", float64(s.Discovery.CrashDelay), 0, unlimited},
		{"discovery.spread", float64(s.Discovery.Spread), 0, unlimited},
		{"discovery.copies", float64(s.Discovery.Services), 1, 9},
		{"discovery.registry", float64(s.Discovery.RegistryReplicas), 0, 9},
		{"discovery.most_stale", float64(s.Discovery.MaxStaleness), 0, unlimited},
		{"discovery.doubt_share", s.Discovery.SuspectFraction, 0, 1},
		{"discovery.stale", float64(s.Discovery.StaleAfter), 0, unlimited},
	}
}

func (s *Scenario) ruleBounds() []bound {
	return []bound{
		{"rules.drain_grace", float64(s.Rules.DrainGrace), 0, unlimited},
		{"rules.cold_from", s.Rules.InitialCapacity, 0.01, 1},
		{"rules.cold", float64(s.Rules.SlowStart), 0, unlimited},
		{"rules.fall_multiple", s.Rules.OverloadMultiple, 0, unlimited},
		{"rules.fall_time", float64(s.Rules.OverloadTime), 0, unlimited},
		{"rules.max_attempts", float64(s.Rules.MaxAttempts), 1, 10},
		{"rules.answer_slack", float64(s.Rules.AnswerSlack), 0, unlimited},
		{"rules.cross_price", s.Rules.CrossZoneCost, 0, unlimited},
		{"rules.ready_within", float64(s.Rules.ReadyWithin), 0, unlimited},
	}
}

func (s *Scenario) checkServerKinds() *invalidKey {
	for i := range s.Servers.Kinds {
		if e := s.Servers.Kinds[i].check(fmt.Sprintf("servers.kind[%d]", i)); e != nil {
			return e
		}
	}
	return nil
}

func (k *ServerKind) check(key string) *invalidKey {
	switch {
	case k.Name == "":
		return invalid(key+".name", "is missing")
	case !(k.Fraction > 0):
		return invalid(key+".share", "must be over 0")
	case k.Cores < 1 || k.Cores > 1024:
		return invalid(key+".cores", "must be between 1 and 1024")
	case !(k.Speed[0] > 0 && k.Speed[0] <= k.Speed[1]):
		return invalid(key+".speed", "must be two numbers over 0, the smaller one first")
	case k.Queue < 0:
		return invalid(key+".queue", "must not be negative")
	case !(k.InitialCapacity > 0 && k.InitialCapacity <= 1) || k.SlowStart < 0:
		return invalid(key+".cold_from", "must be over 0 and at most 1, and cold must not be negative")
	}
	for _, r := range []struct {
		name   string
		drawn  Range
		bounds Range
	}{
		{"slots_per_core", k.SlotsPerCore, Range{1, 1000}},
		{"pause_every_s", k.PauseEvery, Range{0, 3600}},
		{"pause_ms", k.PauseLength, Range{0, 60000}},
		{"pause_grow", k.PauseGrowth, Range{0, 100}},
	} {
		if !(r.drawn[0] <= r.drawn[1] && r.bounds.contains(r.drawn[0]) && r.bounds.contains(r.drawn[1])) {
			return invalid(key+"."+r.name, "must be two numbers between %g and %g, the smaller one first", r.bounds[0], r.bounds[1])
		}
	}
	return nil
}

// checkNetwork checks the zones of servers and list services.
func (s *Scenario) checkNetwork() *invalidKey {
	zones := map[string]bool{}
	for i, z := range s.Network.Zones {
		if z == "" || zones[z] {
			return invalid(fmt.Sprintf("network.zones[%d]", i), "name %q is empty or used twice", z)
		}
		zones[z] = true
	}
	if e := s.checkRegions(zones); e != nil {
		return e
	}
	if n, services := len(s.Discovery.Zones), max(s.Discovery.Services, s.Discovery.RegistryReplicas); n > 0 && n != services {
		return invalid("discovery.zones", "has %d zones for %d list services", n, services)
	}
	for i, z := range s.Discovery.Zones {
		if err := s.checkZone(z); err != nil {
			return invalid(fmt.Sprintf("discovery.zones[%d]", i), "%v", err)
		}
	}
	if n := len(s.Network.ServersByZone); n > 0 && n != len(s.Network.Zones) {
		return invalid("network.split", "has %d numbers for %d zones", n, len(s.Network.Zones))
	}
	for i, n := range s.Network.ServersByZone {
		if n < 1 || n > 1000 {
			return invalid(fmt.Sprintf("network.split[%d]", i), "must be between 1 and 1000")
		}
	}
	return nil
}

// checkRegions checks that each zone is in exactly one region, or that no region is defined.
func (s *Scenario) checkRegions(zones map[string]bool) *invalidKey {
	seen := map[string]bool{}
	for i, region := range s.Network.Regions {
		key := fmt.Sprintf("network.regions[%d]", i)
		if len(region) == 0 {
			return invalid(key, "contains no zone")
		}
		for _, z := range region {
			if !zones[z] || seen[z] {
				return invalid(key, "zone %q is unknown or already in a region; the zones are %s", z, strings.Join(s.Network.Zones, ", "))
			}
			seen[z] = true
		}
	}
	if len(seen) > 0 && len(seen) < len(zones) {
		return invalid("network.regions", "omits a zone: each zone must be in one region, or no region defined")
	}
	return nil
}

func (s *Scenario) checkClasses() *invalidKey {
	names := map[string]bool{}
	for i := range s.Classes {
		c, key := &s.Classes[i], fmt.Sprintf("class[%d]", i)
		if c.Name == "" || names[c.Name] {
			return invalid(key+".name", "name %q is empty or used twice", c.Name)
		}
		names[c.Name] = true
		if e := c.check(key); e != nil {
			return e
		}
	}
	return nil
}

func (c *Class) check(key string) *invalidKey {
	switch {
	case !(c.Fraction > 0):
		return invalid(key+".share", "must be over 0")
	case c.Work <= 0:
		return invalid(key+".work", "must be over 0")
	case c.Objective <= 0 || c.Deadline < c.Objective:
		return invalid(key+".aim", "must be over 0 and at most the deadline")
	case c.CV < 0 || c.PriorityWeight < 0:
		return invalid(key+".cv", "cv and worth must not be negative")
	case !(c.AttemptNoise >= 0 && c.AttemptNoise <= 10):
		return invalid(key+".attempt_noise", "must be between 0 and 10")
	case c.Dist != DistLognormal && c.Dist != DistExponential:
		return invalid(key+".dist", "unknown distribution %q: must be %s or %s", c.Dist, DistLognormal, DistExponential)
	case c.Dist == DistExponential && c.CV > 0:
		return invalid(key+".cv", "must not be set for dist = \"exp\", as an exponential distribution has a fixed coefficient of variation")
	case c.Effect != EffectIdempotent && c.Effect != EffectNonIdempotent:
		return invalid(key+".effect", "unknown effect %q: must be %s or %s", c.Effect, EffectIdempotent, EffectNonIdempotent)
	case c.BodyBytes < 0 || c.BodyBytes > maxBytes || c.Effect == EffectIdempotent && c.BodyBytes > 0:
		return invalid(key+".body", "must be 0 for a safe class and between 0 and 32 MB for others")
	}
	return nil
}

func (s *Scenario) checkTenants() *invalidKey {
	names := map[string]bool{}
	for i, t := range s.Tenants {
		if t.Name == "" || names[t.Name] || !(t.Fraction > 0) || t.UsageFactor < 0 {
			return invalid(fmt.Sprintf("tenant[%d].name", i), "name must be set and unique, share over 0 and usage not negative")
		}
		names[t.Name] = true
	}
	return nil
}

func (s *Scenario) checkFaults() *invalidKey {
	for i := range s.Faults {
		if e := s.checkFault(&s.Faults[i], fmt.Sprintf("fault[%d]", i)); e != nil {
			return e
		}
	}
	return nil
}

// checkExpectedBreaks checks the names of the invariants that must be broken.
func (s *Scenario) checkExpectedBreaks() *invalidKey {
	for i, name := range s.Expect.MustBreak {
		if !IsInvariant(name) {
			return invalid(fmt.Sprintf("expect.breaks[%d]", i), "unknown invariant %q; the invariants are %s", name, strings.Join(InvariantNames(), ", "))
		}
	}
	return nil
}
