package lab

import (
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// coldStart is what the plan's servers may be sent while they are cold, by the figures that the sidecars are told.
func coldStart(p *scenario.Plan) invariant.SlowStart {
	rules := &p.Scenario.Rules
	f := invariant.SlowStart{InitialCapacity: rules.InitialCapacity, Time: rules.SlowStart.Duration(), Window: rules.OverloadTime.Duration(), OverloadMultiple: rules.OverloadMultiple}
	mean := p.Scenario.MeanWork()
	for i := range p.Servers {
		spec := stock.SpecOf(p, i)
		f.CapacityPerSecond = append(f.CapacityPerSecond, float64(spec.Cores)*spec.Speed*1000/mean)
	}
	return f
}
