package report

import (
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// slowStartLimits returns the limits of calls to the plan's servers in slow start, from the settings of the sidecars.
func slowStartLimits(p *scenario.Plan) invariant.SlowStart {
	rules := &p.Scenario.Rules
	f := invariant.SlowStart{InitialCapacity: rules.InitialCapacity, Time: rules.SlowStart.Duration(), Window: rules.OverloadTime.Duration(), OverloadMultiple: rules.OverloadMultiple}
	mean := p.Scenario.MeanWork()
	for i := range p.Servers {
		spec := stock.SpecOf(p, i)
		f.CapacityPerSecond = append(f.CapacityPerSecond, float64(spec.Cores)*spec.Speed*1000/mean)
	}
	return f
}
