package lab

// This file plants defects. Each makes the fleet break one invariant, which shows that the check of that invariant
// detects it. No defect is in the code of a sidecar or replica: they are in the proxies, the servers, discovery and
// the signals sent.

import (
	"context"
	"syscall"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/rollouts"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/stock"
)

// openResponseProxies opens a proxy in front of each sidecar whose responses a planted defect will change. Clients
// connect to it while the defect is on.
func (r *run) openResponseProxies() error {
	for _, p := range r.Plan.Faults {
		if p.Fault.Kind != "defect-lose-answer" && p.Fault.Kind != "defect-answer-twice" {
			continue
		}
		for _, i := range p.Sidecars {
			if r.responseProxies[i] != nil {
				continue
			}
			proxy, err := openResponseProxy(r.sidecars[i].addr())
			if err != nil {
				return err
			}
			r.responseProxies[i] = proxy
		}
	}
	return nil
}

// setDefect turns a planted defect on or off.
func (r *run) setDefect(defect string, p *scenario.FaultPlan, on bool) {
	active := defect
	if !on {
		active = ""
	}
	switch defect {
	case "send-twice", "send-again", "send-often", "invent", "tell-whole":
		r.resendRule.Store(&resendRule{defect: active, sidecars: p.Sidecars})
	case "wrong-body":
		for _, i := range p.Servers {
			r.servers[i].SetBehaviour(func(b *stock.Behaviour) { b.Defect = active })
		}
	case "told-late", "ignore-drain":
		for _, i := range p.Sidecars {
			r.agents[0].SetBehaviour(i, func(b *agent.Behaviour) {
				b.Defect, b.DefectDelay = active, time.Duration(p.Fault.Size*float64(time.Second))
			})
		}
	case "undo-rollback":
		if r.registry.rollbackDefect.Store(nil); on {
			r.registry.rollbackDefect.Store(rollouts.NewRollbackDefect())
		}
	case "end-early", "ignore-term":
		for _, i := range p.Sidecars {
			r.sidecars[i].stopDefect.Store(&active)
		}
	case "ready-late":
		for _, i := range p.Sidecars {
			if r.sidecars[i].startStall.Store(0); on {
				r.sidecars[i].startStall.Store(int64(p.Fault.Size * float64(time.Second)))
			}
		}
	case "lose-answer", "answer-twice":
		for _, i := range p.Sidecars {
			r.responseProxies[i].defect.Store(&active)
		}
	}
}

// earlyEndDelay is the time from the stop request to the kill of a process with the defect "end-early".
const earlyEndDelay = 100 * time.Millisecond

// applyStopDefect applies a planted defect in place of SIGTERM: the process ends with requests in flight, or goes on
// running. It reports whether a defect is planted. The defect is not recorded.
func (s *sidecar) applyStopDefect(c *process.Child) bool {
	defect := s.stopDefect.Load()
	switch {
	case defect == nil || *defect == "":
		return false
	case *defect == "end-early":
		time.Sleep(earlyEndDelay)
		c.Kill()
	}
	return true
}

// stallStart applies a planted defect at the start of a process: the process is suspended for a while. The defect is
// not recorded.
func (s *sidecar) stallStart(ctx context.Context, c *process.Child) {
	stall := time.Duration(s.startStall.Load())
	if stall == 0 {
		return
	}
	_ = c.Signal(syscall.SIGSTOP) // the wait for readiness reports a process that has ended
	harness.Sleep(ctx, stall)
	_ = c.Signal(syscall.SIGCONT) // the wait for readiness reports a process that has ended
}
