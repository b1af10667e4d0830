package simulate_test

import (
	"context"
	"reflect"
	"slices"
	"strings"
	"testing"

	"marblelane/balance"
	"marblelane/internal/lab"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/lab/simulate"
	"marblelane/lab/scenarios"
)

// loadScenario loads a scenario of the lab by name.
func loadScenario(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	s, err := scenarios.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestRun_deterministic(t *testing.T) {
	s := loadScenario(t, "zone-crash")
	var runs []*simulate.Result
	for _, seed := range []uint64{5, 5, 6} {
		r, err := simulate.Run(context.Background(), s.Plan(seed), simulate.Options{})
		if err != nil {
			t.Fatal(err)
		}
		runs = append(runs, r)
	}
	if !reflect.DeepEqual(runs[0], runs[1]) {
		t.Error("two runs of one seed differ")
	}
	if reflect.DeepEqual(runs[0], runs[2]) {
		t.Error("two seeds gave the same run")
	}
}

// The invariants apply to a simulated run as to a run of real processes. They detect a sidecar that makes too many
// attempts, and servers with less capacity in slow start than the sidecars' settings assume.
func TestPlantedDefectsAreCaught(t *testing.T) {
	for rule, plant := range map[string]func(s *scenario.Scenario, o *simulate.Options){
		"": func(*scenario.Scenario, *simulate.Options) {},
		"most-attempts": func(s *scenario.Scenario, o *simulate.Options) {
			s.Rules.MaxAttempts = 1
			o.ChangeConfig = func(_ int, cfg *balance.Config) { cfg.MaxAttempts = 3 }
		},
		"cold": func(s *scenario.Scenario, _ *simulate.Options) { s.Servers.OverloadMultiple = 0.3 },
	} {
		t.Run(rule, func(t *testing.T) {
			s, o := loadScenario(t, "zone-crash"), simulate.Options{}
			plant(s, &o)
			rep, err := lab.Simulate(context.Background(), s, 1, o)
			if err != nil {
				t.Fatal(err)
			}
			if broken := strings.Join(rep.Verdict.Broken(), ","); broken != rule {
				t.Errorf("defect planted against invariant %q: broken invariants %q", rule, broken)
			}
		})
	}
}

func TestRun_errors(t *testing.T) {
	for name, want := range map[string]string{"freeze": "sidecar-freeze", "registry-kills": "real processes"} {
		t.Run(name, func(t *testing.T) {
			_, err := simulate.Run(context.Background(), loadScenario(t, name).Plan(1), simulate.Options{})
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Error(err)
			}
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := simulate.Run(ctx, loadScenario(t, "calm").Plan(1), simulate.Options{}); err == nil {
		t.Error("a cancelled run returned no error")
	}
}

// The notification that a server is removed takes longer than a quick restart and its notification. The older
// notification must be dropped.
func TestRun_quickRestart(t *testing.T) {
	s := loadScenario(t, "zone-rolls")
	p := s.Plan(1)
	run, err := simulate.Run(context.Background(), p, simulate.Options{})
	if err != nil {
		t.Fatal(err)
	}
	notified := map[[2]int32]int64{} // latest start by sidecar and server
	for _, e := range run.Events {
		if e.Kind != record.Notified {
			continue
		}
		key := [2]int32{e.Sidecar, e.Server}
		if e.N < notified[key] {
			t.Errorf("sidecar %d is notified (%s) of the start of server %d at %d after its start at %d", e.Sidecar, e.Note, e.Server, e.N, notified[key])
		}
		notified[key] = e.N
	}
	sendsAfterFault := map[int]int{}
	for _, x := range run.Sends {
		if x.At >= 30000 {
			sendsAfterFault[x.Server]++
		}
	}
	for _, f := range p.Faults {
		for _, n := range f.Servers {
			if sendsAfterFault[n] == 0 {
				t.Errorf("server %d gets no sends after its restart", n)
			}
		}
	}
}

// Compares the figures of a lost zone with the sends of the run.
func TestZoneFaults(t *testing.T) {
	s := loadScenario(t, "zone-lost")
	p := s.Plan(1)
	run, err := simulate.Run(context.Background(), p, simulate.Options{})
	if err != nil {
		t.Fatal(err)
	}
	faults := simulate.ZoneFaults(p, run.Sends)
	if len(faults) != 1 || len(faults[0].Zones) != 1 || faults[0].Zones[0] != "cork-dc" {
		t.Fatalf("zone faults %+v, want one of cork-dc", faults)
	}
	all, into := 0, 0
	for _, x := range run.Sends {
		if x.First && x.At >= 12000 && x.At < 22000 {
			all++
			if p.Servers[x.Server].Zone == 1 {
				into++
			}
		}
	}
	f := faults[0]
	if into == 0 || f.SendFraction != float64(into)/float64(all) || f.SendsP50 > f.SendsP99 || f.EvacuatedAfter <= 0 || f.PeakLoad <= 0 || f.PeakLoad > 2 {
		t.Errorf("%d of %d first sends go into the zone, figures %+v", into, all, f)
	}
	if faults := simulate.ZoneFaults(loadScenario(t, "calm").Plan(1), nil); len(faults) != 0 {
		t.Errorf("zone faults %+v in a scenario without faults", faults)
	}
}

// With many sidecars that share no state, each sidecar sends few requests into a lost zone, and no invariant is broken.
// If sidecars never evacuated the zone, they would send 77 to 88 requests there at the 99th percentile, over a quarter
// of all first sends. The fraction served within the objective is a mean over seeds, as the remaining servers carry all
// load.
func TestZoneFaults_lostZone(t *testing.T) {
	inObjective, seeds := 0.0, uint64(3)
	for seed := uint64(1); seed <= seeds; seed++ {
		s := loadScenario(t, "zone-lost")
		s.Sidecars.Count, s.Servers.Count, s.Traffic.Rate = 60, 100, 600
		rep, err := lab.Simulate(context.Background(), s, seed, simulate.Options{})
		if err != nil {
			t.Fatal(err)
		}
		if f := rep.ZoneFaults[0]; len(rep.Verdict.Counts) > 0 || f.SendsP99 > 20 || f.SendFraction > 0.06 {
			t.Errorf("seed %d: broken invariants %v, figures %+v", seed, rep.Verdict.Counts, f)
		}
		inObjective += rep.Result.Figures.InObjective / float64(seeds)
	}
	if inObjective < 0.965 {
		t.Errorf("fraction %.4f served within the objective, want at least 0.965", inObjective)
	}
}

// Each kind of fault is supported by simulated runs, or marked as one of real runs only.
func TestFaultKinds_areSimulatedOrReal(t *testing.T) {
	simulated := simulate.FaultKinds()
	for _, kind := range scenario.FaultKinds() {
		t.Run(kind, func(t *testing.T) {
			if slices.Contains(simulated, kind) != scenario.IsSimulated(kind) {
				t.Errorf("simulated in package scenario: %v, steps in package simulate: %v", scenario.IsSimulated(kind), !scenario.IsSimulated(kind))
			}
		})
	}
	for _, kind := range simulated {
		if !slices.Contains(scenario.FaultKinds(), kind) {
			t.Errorf("package simulate supports %q, which is no kind of fault of package scenario", kind)
		}
	}
}
