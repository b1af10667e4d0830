package scenario

// This file fills in what a scenario leaves out.

import (
	"strings"
	"time"
)

// defaults fills in what the file leaves out: the operators' fleet, as their page has it.
func (s *Scenario) setDefaults() {
	setDefault(&s.Seed, 1)
	setDefault(&s.Length, Duration(20*time.Second))
	setDefault(&s.Sidecars.Count, 4)
	setDefault(&s.Sidecars.Cores, 1)
	setDefault(&s.Sidecars.MemoryMB, 128)
	setDefault(&s.Sidecars.MaxSockets, 512)
	setDefault(&s.Servers.Count, 9)
	setDefault(&s.Servers.PodSize, 4)
	setDefault(&s.Servers.PodLimit, Range{0.4, 0.73})
	setDefault(&s.Servers.MaxConns, 1500)
	setDefault(&s.Servers.HandshakeWork, Duration(2*time.Millisecond))
	setDefault(&s.Servers.IdleTimeout, Duration(5*time.Second))
	if len(s.Network.Zones) == 0 {
		s.Network.Zones = []string{"limerick-dc", "cork-dc"}
	}
	setDefault(&s.Network.SameZone, Duration(200*time.Microsecond))
	setDefault(&s.Network.CrossZone, Duration(time.Millisecond))
	setDefault(&s.Network.CrossRegion, Duration(8*time.Millisecond))
	setDefault(&s.Network.CrossRegionCost, 2)
	if s.Traffic.Rate == 0 {
		setDefault(&s.Traffic.Load, 0.4)
	}
	setDefault(&s.Traffic.Speedup, 1)
	setDefault(&s.Traffic.AttemptTimeoutFraction, 0.5)
	setDefault(&s.Traffic.AnswerBytes, 1200)
	if len(s.Traffic.LeaveModes) == 0 {
		s.Traffic.LeaveModes = []string{LeaveClose}
	}
	setDefault(&s.Discovery.DrainDelay, Duration(2*time.Second))
	setDefault(&s.Discovery.CrashDelay, Duration(6*time.Second))
	setDefault(&s.Discovery.AddDelay, Duration(1500*time.Millisecond))
	setDefault(&s.Discovery.Spread, Duration(100*time.Millisecond))
	setDefault(&s.Discovery.Services, 1)
	if s.Registry.Replicas > 0 {
		setDefault(&s.Registry.Writers, 4)
		setDefault(&s.Registry.Watchers, 10)
		setDefault(&s.Registry.Entries, 8)
		setDefault(&s.Registry.WriterPause, Duration(5*time.Millisecond))
		setDefault(&s.Registry.HeartbeatInterval, Duration(100*time.Millisecond))
	}
	setDefault(&s.Rules.DrainGrace, Duration(2*time.Second))
	setDefault(&s.Rules.InitialCapacity, 0.17)
	setDefault(&s.Rules.SlowStart, Duration(24*time.Second))
	setDefault(&s.Rules.OverloadMultiple, 4)
	setDefault(&s.Rules.OverloadTime, Duration(3*time.Second))
	setDefault(&s.Rules.MaxAttempts, 3)
	setDefault(&s.Rules.AnswerSlack, Duration(20*time.Millisecond))
	setDefault(&s.Rules.CrossZoneCost, 0.1)
	setDefault(&s.Rules.ReadyWithin, Duration(10*time.Second))
	if len(s.Servers.Kinds) == 0 {
		cold := Duration(18 * time.Second)
		s.Servers.Kinds = []ServerKind{
			{Name: "standard", Fraction: 0.41, Cores: 2, Speed: Range{0.85, 1.1}, Queue: 900, InitialCapacity: 0.25, SlowStart: cold,
				SlotsPerCore: Range{4, 12}, PauseEvery: Range{3.2, 8.6}, PauseLength: Range{0, 180}, PauseGrowth: Range{0.0033, 1.1}},
			{Name: "older", Fraction: 0.59, Cores: 2, Speed: Range{0.51, 0.69}, Queue: 900, InitialCapacity: 0.25, SlowStart: cold,
				SlotsPerCore: Range{4, 12}, PauseEvery: Range{5, 12}, PauseLength: Range{0, 160}, PauseGrowth: Range{0.071, 1.2}},
		}
	}
	for i := range s.Servers.Kinds {
		k := &s.Servers.Kinds[i]
		setDefault(&k.Cores, 2)
		setDefault(&k.Speed, Range{1, 1})
		setDefault(&k.Queue, 900)
		setDefault(&k.InitialCapacity, 1)
		setDefault(&k.SlotsPerCore, Range{1, 1})
	}
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	if len(s.Classes) == 0 {
		s.Classes = []Class{
			{Name: "stock-lookup", Fraction: 0.42, Work: ms(80), Dist: "exp", AttemptNoise: 0.3, Objective: ms(600), Deadline: ms(1500), PriorityWeight: 2, Effect: "safe"},
			{Name: "shelf-count", Fraction: 0.29, Work: ms(85), CV: 0.6, AttemptNoise: 0.33, Objective: ms(600), Deadline: ms(3000), PriorityWeight: 2, Effect: "safe"},
			{Name: "parcel-issue", Fraction: 0.21, Work: ms(90), CV: 0.4, AttemptNoise: 0.34, Objective: ms(600), Deadline: ms(1500), PriorityWeight: 8, Effect: "unsafe"},
			{Name: "donation-intake", Fraction: 0.08, Work: ms(180), Dist: "exp", AttemptNoise: 0.35, Objective: ms(1000), Deadline: ms(5000), PriorityWeight: 3, Effect: "unsafe"},
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		setDefault(&c.PriorityWeight, 1)
		setDefault(&c.Effect, "safe")
		setDefault(&c.Dist, "lognormal")
		if c.Effect == "unsafe" {
			setDefault(&c.BodyBytes, 200)
		}
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: "shannonside", Fraction: 0.53}, {Name: "midwest-pantry", Fraction: 0.25}, {Name: "lee-valley", Fraction: 0.22}}
	}
	for i := range s.Tenants {
		setDefault(&s.Tenants[i].UsageFactor, 1)
	}
	s.setRouteDefaults()
	s.setMemberDefaults()
	for i := range s.Faults {
		f := &s.Faults[i]
		form := faultForms()[f.Kind]
		if form.servers {
			setDefault(&f.Servers, "all")
		}
		if form.sidecars {
			setDefault(&f.Sidecars, "all")
		}
		if form.copies {
			setDefault(&f.Replicas, "leader")
		}
		if isCut(f.Kind) {
			setDefault(&f.Direction, "both")
		}
		if f.Kind == "accept-late" {
			setDefault(&f.Fraction, 1)
		}
		setDefault(&f.Link, "servers")
		if strings.HasPrefix(f.Kind, "list-") && f.Kind != "list-move" || f.Link == "discovery" {
			setDefault(&f.List, "all")
		}
	}
}

func setDefault[T comparable](v *T, otherwise T) {
	var zero T
	if *v == zero {
		*v = otherwise
	}
}
