package report

import (
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/scenario"
)

// delayedLinks returns the periods in which a fault of the plan may delay data between sidecars and servers.
func delayedLinks(p *scenario.Plan) []invariant.DelayedLink {
	var all []int
	for i := range p.Sidecars {
		all = append(all, i)
	}
	var held []invariant.DelayedLink
	for _, one := range p.Faults {
		h := invariant.DelayedLink{From: one.At, To: one.Until, Sidecars: one.Sidecars, Servers: one.Servers}
		switch {
		case one.Fault.Kind == "vanish":
			h.Sidecars = all
		case one.Fault.Link == "discovery", one.Fault.Kind != "cut" && one.Fault.Kind != "bandwidth":
			continue
		}
		held = append(held, h)
	}
	return held
}
