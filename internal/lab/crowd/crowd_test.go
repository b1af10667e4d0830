package crowd

import "testing"

func TestRun(t *testing.T) {
	spec := Spec{Callers: 300, Servers: 60, Capacity: 4000, CallTimeout: 2000, StartSpread: 100, Length: 60000, PollInterval: 10000, Seed: 1}
	r, err := Run(spec)
	if err != nil {
		t.Fatal(err)
	}
	if r.HaveList != 300 || r.Succeeded != 300 || r.Failed == 0 || r.Calls != r.Succeeded+r.Failed || r.Busy != r.Useful {
		t.Errorf("service that can serve all callers in time: %+v", r)
	}
	again, err := Run(spec)
	if err != nil || *again != *r {
		t.Errorf("two runs of the same seed differ: %+v, %+v, %v", r, again, err)
	}
	spec.WastesFailedCalls = true
	wasteful, err := Run(spec)
	if err != nil || wasteful.P50 <= r.P50 || wasteful.Useful >= wasteful.Busy {
		t.Errorf("failed calls cost the service its time, but lists come no later: %+v, %v", wasteful, err)
	}
	spec.WastesFailedCalls, spec.Callers, spec.StartSpread = false, 20, 10000
	if r, err := Run(spec); err != nil || r.Failed != 0 || r.HaveList != 20 {
		t.Errorf("few callers that start one by one: %+v, %v", r, err)
	}
	spec.Capacity = 0
	if _, err := Run(spec); err == nil {
		t.Error("Run accepted a service without capacity")
	}
}
