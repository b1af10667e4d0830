package stock

import (
	"time"

	"marblelane/internal/lab/scenario"
)

// SpecOf returns the Spec of the server with this number in a plan.
func SpecOf(p *scenario.Plan, number int) Spec {
	s, planned := p.Scenario, &p.Servers[number]
	kind, drawn := &s.Servers.Kinds[planned.Kind], &p.Kinds[planned.Kind]
	spec := Spec{
		Cores: kind.Cores, Speed: planned.Speed, Slots: drawn.SlotsPerCore, Queue: kind.Queue, MaxConns: s.Servers.MaxConns,
		Handshake: s.Servers.HandshakeWork.Milliseconds() / s.Traffic.Speedup, Idle: s.Servers.IdleTimeout.Duration(), NoCancel: s.Servers.NoCancel,
		InitialCapacity: kind.InitialCapacity, SlowStartTime: kind.SlowStart.Duration(), OverloadMultiple: s.Rules.OverloadMultiple, OverloadTime: s.Rules.OverloadTime.Duration(),
		Pause: Pause{
			MeanInterval:  time.Duration(drawn.PauseEvery * float64(time.Second)),
			MaxIdleLength: s.Scaled(scenario.Duration(drawn.PauseLength * float64(time.Millisecond))),
			LoadFactor:    drawn.PauseGrowth, Seed: p.Seed ^ uint64(number)<<32,
		},
	}
	if s.Servers.OverloadMultiple > 0 {
		spec.OverloadMultiple = s.Servers.OverloadMultiple
	}
	if s.Servers.Jam {
		spec.Jam = DefaultJam()
	}
	return spec
}
