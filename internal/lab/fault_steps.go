package lab

// This file converts the planned faults to steps, which are actions with a time. Each kind of fault has one entry in
// stepsByKind. Each kind sets and resets only its own setting of a server or link, so faults of different kinds can
// overlap. Two overlapping faults of one kind on one target both end when the first of them ends.

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"time"

	"marblelane/internal/lab/scenario"
)

// step is one action of a fault and its time.
type step struct {
	at    time.Duration // time since all parties were started
	text  string        // description in the records and the report
	phase faultPhase
	run   func(context.Context) error
}

// faultPhase is the phase of a fault that a step stands for. It is written to the record as its status.
type faultPhase int32

const (
	faultOnce   faultPhase = iota // the fault has this step only
	faultBegins                   // the step begins the fault
	faultEnds                     // the step ends the fault
)

// injection is a planned fault together with the run into which it is injected.
type injection struct {
	*run
	*scenario.FaultPlan
}

// stepsByKind maps each kind of fault to the function that returns its steps.
var stepsByKind = allSteps(serverSteps, linkSteps, discoverySteps, sidecarSteps, workloadSteps, memberSteps, replicaSteps, defectSteps)

// allSteps returns the union of tables that map kinds of faults to functions.
func allSteps(tables ...map[string]func(injection) []step) map[string]func(injection) []step {
	all := map[string]func(injection) []step{}
	for _, table := range tables {
		maps.Copy(all, table)
	}
	return all
}

// steps returns the steps that begin and end a fault. It panics if the kind is unknown.
func (r *run) steps(p *scenario.FaultPlan) []step {
	steps := stepsByKind[p.Fault.Kind]
	if steps == nil {
		panic("lab: no steps for fault kind " + p.Fault.Kind)
	}
	return steps(injection{r, p})
}

// describe returns the description of the fault for the records and the report.
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

// once returns the step of a fault that happens at one moment.
func (f injection) once(do func(context.Context) error) []step {
	return []step{{f.At, f.describe(), faultOnce, do}}
}

// span returns the steps of a fault that begins and ends.
func (f injection) span(begin, end func(context.Context) error) []step {
	text := f.describe()
	return []step{{f.At, text, faultBegins, begin}, {f.Until, text + " ends", faultEnds, end}}
}

// toggle returns the steps of a fault that one function turns on and off.
func (f injection) toggle(set func(on bool) error) []step {
	return f.span(func(context.Context) error { return set(true) }, func(context.Context) error { return set(false) })
}

// size returns the size of the fault if it is on, else 0.
func (f injection) size(on bool) float64 {
	if on {
		return f.Fault.Size
	}
	return 0
}

// duration returns the size of the fault as a number of seconds if it is on, else 0.
func (f injection) duration(on bool) time.Duration {
	return time.Duration(f.size(on) * float64(time.Second))
}

// workloadSteps are the faults of clients and their requests. Some of them are already part of the planned arrivals.
// Their steps do nothing.
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

// recordSpan returns steps that do nothing, so that only the begin and end of the fault are recorded.
func recordSpan(f injection) []step { return f.toggle(func(bool) error { return nil }) }

// memberSteps are the faults of the network between members.
var memberSteps = map[string]func(injection) []step{
	"members-cut":    setMemberFault,
	"members-lose":   setMemberFault,
	"members-slow":   setMemberFault,
	"members-refuse": setMemberFault,
}

func setMemberFault(f injection) []step {
	return f.toggle(func(on bool) error { return f.members.SetFault(f.FaultPlan, on) })
}

// replicaSteps are the faults of the registry's replicas in a run with sidecars.
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
	started := make(chan struct{}) // closed once the injection has returned, which may take longer than the fault lasts
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
		if undo == nil { // no undo function: the injection failed
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

	// Defects of runs of the registry alone, which package cluster plants.
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
