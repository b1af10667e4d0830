package scenario

// This file fills in what a scenario leaves out.

import (
	"strings"
	"time"
)

// defaults fills in what the file leaves out: the operators' fleet, as their page has it.
func (s *Scenario) defaults() {
	or(&s.Seed, 1)
	or(&s.Length, Duration(20*time.Second))
	or(&s.Sidecars.Count, 4)
	or(&s.Sidecars.Cores, 1)
	or(&s.Sidecars.MemoryMB, 128)
	or(&s.Sidecars.Sockets, 512)
	or(&s.Servers.Count, 9)
	or(&s.Servers.PodSize, 4)
	or(&s.Servers.PodLimit, Range{0.4, 0.73})
	or(&s.Servers.MaxConns, 1500)
	or(&s.Servers.Handshake, Duration(2*time.Millisecond))
	or(&s.Servers.Idle, Duration(5*time.Second))
	if len(s.Network.Zones) == 0 {
		s.Network.Zones = []string{"limerick-dc", "cork-dc"}
	}
	or(&s.Network.Same, Duration(200*time.Microsecond))
	or(&s.Network.Cross, Duration(time.Millisecond))
	or(&s.Network.Far, Duration(8*time.Millisecond))
	or(&s.Network.FarCost, 2)
	if s.Traffic.Rate == 0 {
		or(&s.Traffic.Load, 0.4)
	}
	or(&s.Traffic.Pace, 1)
	or(&s.Traffic.TryShare, 0.5)
	or(&s.Traffic.Answer, 1200)
	if len(s.Traffic.Leave) == 0 {
		s.Traffic.Leave = []string{LeaveClose}
	}
	or(&s.Discovery.Notice, Duration(2*time.Second))
	or(&s.Discovery.SilentNotice, Duration(6*time.Second))
	or(&s.Discovery.Add, Duration(1500*time.Millisecond))
	or(&s.Discovery.Spread, Duration(100*time.Millisecond))
	or(&s.Discovery.Copies, 1)
	if s.Registry.Copies > 0 {
		or(&s.Registry.Writers, 4)
		or(&s.Registry.Watchers, 10)
		or(&s.Registry.Entries, 8)
		or(&s.Registry.Pause, Duration(5*time.Millisecond))
		or(&s.Registry.Beat, Duration(100*time.Millisecond))
	}
	or(&s.Rules.DrainGrace, Duration(2*time.Second))
	or(&s.Rules.ColdFrom, 0.17)
	or(&s.Rules.Cold, Duration(24*time.Second))
	or(&s.Rules.FallMultiple, 4)
	or(&s.Rules.FallTime, Duration(3*time.Second))
	or(&s.Rules.MaxAttempts, 3)
	or(&s.Rules.AnswerSlack, Duration(20*time.Millisecond))
	or(&s.Rules.CrossPrice, 0.1)
	or(&s.Rules.ReadyWithin, Duration(10*time.Second))
	if len(s.Servers.Kinds) == 0 {
		cold := Duration(18 * time.Second)
		s.Servers.Kinds = []Kind{
			{Name: "standard", Share: 0.41, Cores: 2, Speed: Range{0.85, 1.1}, Queue: 900, ColdFrom: 0.25, Cold: cold,
				Slots: Range{4, 12}, PauseEvery: Range{3.2, 8.6}, Pause: Range{0, 180}, PauseGrow: Range{0.0033, 1.1}},
			{Name: "older", Share: 0.59, Cores: 2, Speed: Range{0.51, 0.69}, Queue: 900, ColdFrom: 0.25, Cold: cold,
				Slots: Range{4, 12}, PauseEvery: Range{5, 12}, Pause: Range{0, 160}, PauseGrow: Range{0.071, 1.2}},
		}
	}
	for i := range s.Servers.Kinds {
		k := &s.Servers.Kinds[i]
		or(&k.Cores, 2)
		or(&k.Speed, Range{1, 1})
		or(&k.Queue, 900)
		or(&k.ColdFrom, 1)
		or(&k.Slots, Range{1, 1})
	}
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	if len(s.Classes) == 0 {
		s.Classes = []Class{
			{Name: "stock-lookup", Share: 0.42, Work: ms(80), Dist: "exp", AttemptNoise: 0.3, Aim: ms(600), Deadline: ms(1500), Worth: 2, Effect: "safe"},
			{Name: "shelf-count", Share: 0.29, Work: ms(85), CV: 0.6, AttemptNoise: 0.33, Aim: ms(600), Deadline: ms(3000), Worth: 2, Effect: "safe"},
			{Name: "parcel-issue", Share: 0.21, Work: ms(90), CV: 0.4, AttemptNoise: 0.34, Aim: ms(600), Deadline: ms(1500), Worth: 8, Effect: "unsafe"},
			{Name: "donation-intake", Share: 0.08, Work: ms(180), Dist: "exp", AttemptNoise: 0.35, Aim: ms(1000), Deadline: ms(5000), Worth: 3, Effect: "unsafe"},
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		or(&c.Worth, 1)
		or(&c.Effect, "safe")
		or(&c.Dist, "lognormal")
		if c.Effect == "unsafe" {
			or(&c.Body, 200)
		}
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: "shannonside", Share: 0.53}, {Name: "midwest-pantry", Share: 0.25}, {Name: "lee-valley", Share: 0.22}}
	}
	for i := range s.Tenants {
		or(&s.Tenants[i].Usage, 1)
	}
	s.routeDefaults()
	s.memberDefaults()
	for i := range s.Faults {
		f := &s.Faults[i]
		form := faultForms()[f.Kind]
		if form.servers {
			or(&f.Servers, "all")
		}
		if form.sidecars {
			or(&f.Sidecars, "all")
		}
		if form.copies {
			or(&f.Copies, "leader")
		}
		if isCut(f.Kind) {
			or(&f.Way, "both")
		}
		if f.Kind == "accept-late" {
			or(&f.Share, 1)
		}
		or(&f.Link, "servers")
		if strings.HasPrefix(f.Kind, "list-") && f.Kind != "list-move" || f.Link == "discovery" {
			or(&f.List, "all")
		}
	}
}

func or[T comparable](v *T, otherwise T) {
	var zero T
	if *v == zero {
		*v = otherwise
	}
}
