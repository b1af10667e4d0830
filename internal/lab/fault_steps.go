package lab

// This file turns the faults of a plan into steps: what is done at which time. Each kind of fault is one entry of
// stepsByKind. What a server or link suffers is set and taken back on its own, so that faults of several kinds can overlap;
// two of one kind on one target end together.

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	"marblelane/internal/lab/scenario"
)

// step is one thing to do at its time.
type step struct {
	at    time.Duration
	text  string
	phase faultPhase
	run   func(context.Context) error
}

// faultPhase is what a step is to its fault, as the status of the record says it.
type faultPhase int32

const (
	faultOnce faultPhase = iota
	faultBegins
	faultEnds
)

// injection is a planned fault that is to be injected into a run.
type injection struct {
	*run
	*scenario.FaultPlan
}

// stepsByKind gives the steps of each kind of fault.
var stepsByKind = allSteps(serverSteps, linkSteps, discoverySteps, sidecarSteps, workloadSteps, memberSteps, replicaSteps, defectSteps)

func allSteps(tables ...map[string]func(injection) []step) map[string]func(injection) []step {
	all := map[string]func(injection) []step{}
	for _, table := range tables {
		maps.Copy(all, table)
	}
	return all
}

// steps gives what is done and undone of a fault.
func (r *run) steps(p *scenario.FaultPlan) []step {
	steps := stepsByKind[p.Fault.Kind]
	if steps == nil {
		panic("lab: no steps for a fault of the kind " + p.Fault.Kind)
	}
	return steps(injection{r, p})
}

// describe is the fault in words, as the records and the report have it.
func (f injection) describe() string {
	text := f.Fault.Kind
	if f.Fault.Size != 0 {
		text += fmt.Sprintf(" %g", f.Fault.Size)
	}
	if f.Servers != nil {
		text += fmt.Sprintf(" servers %v", f.Servers)
	}
	if f.Sidecars != nil && len(f.Sidecars) < len(f.Plan.Sidecars) {
		text += fmt.Sprintf(" sidecars %v", f.Sidecars)
	}
	if strings.HasPrefix(f.Fault.Kind, "copy-") {
		text += " copies " + f.Fault.Replicas
	}
	if strings.HasPrefix(f.Fault.Kind, "members-") && f.Fault.Direction != "" {
		text += " " + f.Fault.Direction
	}
	return text
}

// once is a fault that happens at one moment.
func (f injection) once(do func(context.Context) error) []step {
	return []step{{f.At, f.describe(), faultOnce, do}}
}

// span is a fault that begins and ends.
func (f injection) span(begin, end func(context.Context) error) []step {
	text := f.describe()
	return []step{{f.At, text, faultBegins, begin}, {f.Until, text + " ends", faultEnds, end}}
}

// toggle is a fault that is set and taken back in the same way.
func (f injection) toggle(set func(on bool) error) []step {
	return f.span(func(context.Context) error { return set(true) }, func(context.Context) error { return set(false) })
}

// size is the size of the fault while it is on.
func (f injection) size(on bool) float64 {
	if on {
		return f.Fault.Size
	}
	return 0
}

// duration is the size of the fault as a time while it is on.
func (f injection) duration(on bool) time.Duration {
	return time.Duration(f.size(on) * float64(time.Second))
}

// workloadSteps are the faults of clients and their requests. Some of them are drawn into the arrivals of the plan, and
// nothing is left to do.
var workloadSteps = map[string]func(injection) []step{
	"burst": recordSpan,
	"rush":  func(f injection) []step { return f.once(func(context.Context) error { return nil }) },
	"leave": func(f injection) []step {
		return f.once(func(context.Context) error { f.load.LeaveEarly(f.Sidecars, f.Fault.Size); return nil })
	},
	"idle-fill": func(f injection) []step {
		return f.span(func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, f.Until-f.At)
			defer cancel()
			f.load.HoldIdle(ctx, f.Sidecars, int(f.Fault.Size))
			return nil
		}, func(context.Context) error { return nil })
	},
}

// recordSpan records a fault, and changes nothing.
func recordSpan(f injection) []step { return f.toggle(func(bool) error { return nil }) }

// memberSteps are the faults between members.
var memberSteps = map[string]func(injection) []step{
	"members-cut":    setMemberFault,
	"members-lose":   setMemberFault,
	"members-slow":   setMemberFault,
	"members-refuse": setMemberFault,
}

func setMemberFault(f injection) []step {
	return f.toggle(func(on bool) error { return f.members.SetFault(f.FaultPlan, on) })
}

// replicaSteps are the faults of the replicas of the registry that sidecars follow.
var replicaSteps = map[string]func(injection) []step{
	"copy-kill":      injectIntoReplicas,
	"copy-freeze":    injectIntoReplicas,
	"copy-cut":       injectIntoReplicas,
	"copy-disk-full": injectIntoReplicas,
	"copy-disk-lost": injectIntoReplicas,
	"copy-disk-slow": injectIntoReplicas,
	"copy-sync-kept": injectIntoReplicas,
	"copy-sync-lost": injectIntoReplicas,
	"copy-clock":     injectIntoReplicas,
}

func injectIntoReplicas(f injection) []step {
	var undo func() error
	started := make(chan struct{}) // the start may take longer than the fault lasts
	return f.span(func(ctx context.Context) (err error) {
		defer close(started)
		undo, err = f.registry.cluster.InjectFault(ctx, f.FaultPlan)
		return err
	}, func(ctx context.Context) error {
		select {
		case <-started:
		case <-ctx.Done():
			return nil
		}
		if undo == nil { // it never started
			return nil
		}
		return undo()
	})
}

// defectSteps are the planted defects.
var defectSteps = map[string]func(injection) []step{
	"defect-send-twice":    plantDefect,
	"defect-send-again":    plantDefect,
	"defect-send-often":    plantDefect,
	"defect-tell-whole":    plantDefect,
	"defect-invent":        plantDefect,
	"defect-lose-answer":   plantDefect,
	"defect-answer-twice":  plantDefect,
	"defect-wrong-body":    plantDefect,
	"defect-told-late":     plantDefect,
	"defect-ignore-drain":  plantDefect,
	"defect-undo-rollback": plantDefect,
	"defect-end-early":     plantDefect,
	"defect-ignore-term":   plantDefect,
	"defect-ready-late":    plantDefect,

	// Defects of runs of the registry alone.
	"defect-unheard-disk": recordSpan,
	"defect-stale-read":   recordSpan,
	"defect-skipped-line": recordSpan,
	"defect-fresh-claim":  recordSpan,
}

func plantDefect(f injection) []step {
	return f.toggle(func(on bool) error {
		f.setDefect(strings.TrimPrefix(f.Fault.Kind, "defect-"), f.FaultPlan, on)
		return nil
	})
}
