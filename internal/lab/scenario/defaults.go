package scenario

// This file sets the defaults of a scenario.

import "time"

// setDefaults sets the keys that the file omits. The defaults describe the fleet of the operators' page.
func (s *Scenario) setDefaults() {
	setDefault(&s.Seed, 1)
	setDefault(&s.Length, seconds(20))
	s.Sidecars.setDefaults()
	s.Servers.setDefaults()
	s.Network.setDefaults()
	s.Traffic.setDefaults()
	s.Discovery.setDefaults()
	s.Registry.setDefaults()
	s.Rules.setDefaults()
	s.setClassDefaults()
	s.setTenantDefaults()
	s.setRouteDefaults()
	s.setMemberDefaults()
	for i := range s.Faults {
		s.Faults[i].setDefaults()
	}
}

// setDefault sets a value that is zero, as that of a key that the file omits.
func setDefault[T comparable](v *T, defaultValue T) {
	var zero T
	if *v == zero {
		*v = defaultValue
	}
}

func milliseconds(n float64) Duration { return Duration(n * float64(time.Millisecond)) }

func seconds(n float64) Duration { return Duration(n * float64(time.Second)) }

func (s *Sidecars) setDefaults() {
	setDefault(&s.Count, 4)
	setDefault(&s.Cores, 1)
	setDefault(&s.MemoryMB, 128)
	setDefault(&s.MaxSockets, 512)
}

func (s *Servers) setDefaults() {
	setDefault(&s.Count, 9)
	setDefault(&s.PodSize, 4)
	setDefault(&s.PodLimit, Range{0.4, 0.73})
	setDefault(&s.MaxConns, 1500)
	setDefault(&s.HandshakeWork, milliseconds(2))
	setDefault(&s.IdleTimeout, seconds(5))
	if len(s.Kinds) == 0 {
		s.Kinds = defaultServerKinds()
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		setDefault(&k.Cores, 2)
		setDefault(&k.Speed, Range{1, 1})
		setDefault(&k.Queue, defaultQueue)
		setDefault(&k.InitialCapacity, 1)
		setDefault(&k.SlotsPerCore, Range{1, 1})
	}
}

const defaultQueue = 900 // default of ServerKind.Queue, in requests

func defaultServerKinds() []ServerKind {
	standard := ServerKind{Name: "standard", Fraction: 0.41, Speed: Range{0.85, 1.1},
		PauseEvery: Range{3.2, 8.6}, PauseLength: Range{0, 180}, PauseGrowth: Range{0.0033, 1.1}}
	older := ServerKind{Name: "older", Fraction: 0.59, Speed: Range{0.51, 0.69},
		PauseEvery: Range{5, 12}, PauseLength: Range{0, 160}, PauseGrowth: Range{0.071, 1.2}}
	kinds := []ServerKind{standard, older}
	for i := range kinds {
		k := &kinds[i]
		k.Cores, k.Queue, k.SlotsPerCore = 2, defaultQueue, Range{4, 12}
		k.InitialCapacity, k.SlowStart = 0.25, seconds(18)
	}
	return kinds
}

func (n *Network) setDefaults() {
	if len(n.Zones) == 0 {
		n.Zones = []string{"limerick-dc", "cork-dc"}
	}
	setDefault(&n.SameZone, milliseconds(0.2))
	setDefault(&n.CrossZone, milliseconds(1))
	setDefault(&n.CrossRegion, milliseconds(8))
	setDefault(&n.CrossRegionCost, 2)
}

func (t *Traffic) setDefaults() {
	if t.Rate == 0 {
		setDefault(&t.Load, 0.4)
	}
	setDefault(&t.Speedup, 1)
	setDefault(&t.AttemptTimeoutFraction, 0.5)
	setDefault(&t.ResponseBytes, 1200)
	if len(t.LeaveModes) == 0 {
		t.LeaveModes = []string{LeaveClose}
	}
}

func (d *Discovery) setDefaults() {
	setDefault(&d.DrainDelay, seconds(2))
	setDefault(&d.CrashDelay, seconds(6))
	setDefault(&d.AddDelay, milliseconds(1500))
	setDefault(&d.Spread, milliseconds(100))
	setDefault(&d.Services, 1)
}

func (r *Registry) setDefaults() {
	if r.Replicas == 0 {
		return
	}
	setDefault(&r.Writers, 4)
	setDefault(&r.Watchers, 10)
	setDefault(&r.Entries, 8)
	setDefault(&r.WriterPause, milliseconds(5))
	setDefault(&r.HeartbeatInterval, milliseconds(100))
}

func (r *Rules) setDefaults() {
	setDefault(&r.DrainGrace, seconds(2))
	setDefault(&r.InitialCapacity, 0.17)
	setDefault(&r.SlowStart, seconds(24))
	setDefault(&r.OverloadMultiple, 4)
	setDefault(&r.OverloadTime, seconds(3))
	setDefault(&r.MaxAttempts, 3)
	setDefault(&r.AnswerSlack, milliseconds(20))
	setDefault(&r.CrossZoneCost, 0.1)
	setDefault(&r.ReadyWithin, seconds(10))
}

func (s *Scenario) setClassDefaults() {
	if len(s.Classes) == 0 {
		s.Classes = defaultClasses()
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		setDefault(&c.PriorityWeight, 1)
		setDefault(&c.Effect, EffectIdempotent)
		setDefault(&c.Dist, DistLognormal)
		if c.Effect == EffectNonIdempotent {
			setDefault(&c.BodyBytes, 200)
		}
	}
}

func defaultClasses() []Class {
	ms := milliseconds
	return []Class{
		{Name: "stock-lookup", Fraction: 0.42, Work: ms(80), Dist: DistExponential, AttemptNoise: 0.3,
			Objective: ms(600), Deadline: ms(1500), PriorityWeight: 2, Effect: EffectIdempotent},
		{Name: "shelf-count", Fraction: 0.29, Work: ms(85), CV: 0.6, AttemptNoise: 0.33,
			Objective: ms(600), Deadline: ms(3000), PriorityWeight: 2, Effect: EffectIdempotent},
		{Name: "parcel-issue", Fraction: 0.21, Work: ms(90), CV: 0.4, AttemptNoise: 0.34,
			Objective: ms(600), Deadline: ms(1500), PriorityWeight: 8, Effect: EffectNonIdempotent},
		{Name: "donation-intake", Fraction: 0.08, Work: ms(180), Dist: DistExponential, AttemptNoise: 0.35,
			Objective: ms(1000), Deadline: ms(5000), PriorityWeight: 3, Effect: EffectNonIdempotent},
	}
}

func (s *Scenario) setTenantDefaults() {
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{
			{Name: "shannonside", Fraction: 0.53},
			{Name: "midwest-pantry", Fraction: 0.25},
			{Name: "lee-valley", Fraction: 0.22},
		}
	}
	for i := range s.Tenants {
		setDefault(&s.Tenants[i].UsageFactor, 1)
	}
}
