package stock

import (
	"time"

	"marblelane/internal/lab/scenario"
)

// SpecOf is what a plan's server of this number is made of.
func SpecOf(p *scenario.Plan, number int) Spec {
	s, sp := p.Scenario, &p.Servers[number]
	k, drawn := &s.Servers.Kinds[sp.Kind], &p.Kinds[sp.Kind]
	spec := Spec{
		Cores: k.Cores, Speed: sp.Speed, Slots: drawn.Slots, Queue: k.Queue, MaxConns: s.Servers.MaxConns,
		Handshake: s.Servers.Handshake.Milliseconds() / s.Traffic.Pace, Idle: s.Servers.Idle.Duration(), NoCancel: s.Servers.NoCancel,
		InitialCapacity: k.ColdFrom, SlowStartTime: k.Cold.Duration(), OverloadMultiple: s.Rules.FallMultiple, OverloadTime: s.Rules.FallTime.Duration(),
		Pause: Pause{
			MeanInterval:  time.Duration(drawn.PauseEvery * float64(time.Second)),
			MaxIdleLength: s.Pace(scenario.Duration(drawn.Pause * float64(time.Millisecond))),
			LoadFactor:    drawn.PauseGrow, Seed: p.Seed ^ uint64(number)<<32,
		},
	}
	if s.Servers.FallMultiple > 0 {
		spec.OverloadMultiple = s.Servers.FallMultiple
	}
	if s.Servers.Jam {
		spec.Jam = DefaultJam()
	}
	return spec
}
