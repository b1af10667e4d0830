package lab

// This file has the steps of the faults of sidecars and of simulated discovery.

import (
	"context"

	"marblelane/internal/fault"
	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/harness"
	"marblelane/internal/tomlfile"
)

// discoverySteps are the faults of the simulated discovery services.
var discoverySteps = map[string]func(injection) []step{
	"list-empty":  listFault(agent.FaultEmptyList),
	"list-half":   listFault(agent.FaultPartialList),
	"list-stuck":  listFault(agent.FaultStaleWatch),
	"list-freeze": listFault(agent.FaultTruncatedLine),
	"list-big":    listFault(agent.FaultOversizedLine),
	"list-late": func(f injection) []step {
		return f.changeLists(func(b *agent.Behaviour, on bool) { b.Delay = f.duration(on) })
	},
	"list-pieces": func(f injection) []step {
		return f.changeLists(func(b *agent.Behaviour, on bool) { b.Form.PieceBytes = int(f.size(on)) })
	},
	"list-silent": func(f injection) []step {
		return f.changeLists(func(b *agent.Behaviour, on bool) { b.Silent = on })
	},
	"list-end": func(f injection) []step {
		return f.changeLists(func(b *agent.Behaviour, on bool) { b.Form.EndOnChange = on })
	},
	"list-whole": func(f injection) []step {
		return f.changeLists(func(b *agent.Behaviour, on bool) { b.Form.CompleteFirst = on })
	},
	"list-refuse": func(f injection) []step {
		return f.changeLists(func(b *agent.Behaviour, on bool) { b.Reject = on })
	},
	"list-hush": func(f injection) []step {
		return f.once(func(context.Context) error {
			f.eachList(func(a *agent.Agents, sidecar int) { a.SilenceWatches(sidecar) })
			return nil
		})
	},
	"list-move": func(f injection) []step {
		return f.once(func(context.Context) error { return f.migrateDiscovery() })
	},
}

// eachList calls call for each discovery service and sidecar that a fault affects.
func (f injection) eachList(call func(a *agent.Agents, sidecar int)) {
	for _, a := range f.discoveryServices(f.Fault) {
		for _, i := range f.Sidecars {
			call(a, i)
		}
	}
}

// changeLists returns the steps that set and reset a behaviour of all lists of a fault.
func (f injection) changeLists(change func(b *agent.Behaviour, on bool)) []step {
	return f.toggle(func(on bool) error {
		f.eachList(func(a *agent.Agents, sidecar int) {
			a.SetBehaviour(sidecar, func(b *agent.Behaviour) { change(b, on) })
		})
		return nil
	})
}

// listFault returns the steps of a fault in the text of the list.
func listFault(kind string) func(injection) []step {
	return func(f injection) []step {
		return f.changeLists(func(b *agent.Behaviour, on bool) {
			b.Fault, b.Fraction = "", 0
			if on {
				b.Fault, b.Fraction = kind, f.Fault.Size
			}
		})
	}
}

// sidecarSteps are the faults of the processes of sidecars.
var sidecarSteps = map[string]func(injection) []step{
	"sidecar-restart": sidecarFault((*sidecar).restart),
	"sidecar-term":    sidecarFault((*sidecar).terminate),
	"sidecar-upgrade": sidecarFault((*sidecar).upgrade),
	"sidecar-clock":   stepClocks,
	"sidecar-call":    failCalls,
	"sidecar-freeze": func(f injection) []step {
		return f.toggle(func(on bool) error { return f.eachSidecar(func(s *sidecar) error { return s.freeze(on) }) })
	},
	"sidecar-kill": func(f injection) []step {
		return f.span(func(context.Context) error { return f.eachSidecar((*sidecar).crash) }, func(ctx context.Context) error {
			return f.eachSidecar(func(s *sidecar) error { return s.launch(ctx) })
		})
	},
}

// eachSidecar calls call for all sidecars of a fault concurrently.
func (f injection) eachSidecar(call func(*sidecar) error) error {
	return harness.ForEach(f.Sidecars, func(i int) error { return call(f.sidecars[i]) })
}

// sidecarFault returns the step of a fault that is injected once into each sidecar.
func sidecarFault(do func(*sidecar, context.Context) error) func(injection) []step {
	return func(f injection) []step {
		return f.once(func(ctx context.Context) error {
			return f.eachSidecar(func(s *sidecar) error { return do(s, ctx) })
		})
	}
}

// changeFaults returns the steps that set and reset a fault inside the processes of sidecars.
func (f injection) changeFaults(change func(set *fault.Config, on bool)) []step {
	return f.toggle(func(on bool) error {
		return f.eachSidecar(func(s *sidecar) error {
			return s.changeFaults(func(set *fault.Config) { change(set, on) })
		})
	})
}

// stepClocks steps the clocks of the sidecars' processes.
func stepClocks(f injection) []step {
	return f.changeFaults(func(set *fault.Config, on bool) { set.ClockStep = tomlfile.Duration(f.duration(on)) })
}

// failCalls makes a system call of the sidecars' processes fail with the fault's error number.
func failCalls(f injection) []step {
	return f.changeFaults(func(set *fault.Config, on bool) {
		delete(set.Calls, f.Fault.Call)
		if !on {
			return
		}
		if set.Calls == nil {
			set.Calls = map[string]string{}
		}
		set.Calls[f.Fault.Call] = f.Fault.Errno
	})
}
