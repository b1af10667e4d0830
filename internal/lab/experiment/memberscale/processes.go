package memberscale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/experiment/testbed"
	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
)

// ProcessResult is the resource use of idle sidecar processes.
type ProcessResult struct {
	Members     int     `json:"members"`
	WithMembers bool    `json:"section"`             // the configuration has the section "members"
	CPU         float64 `json:"cpu_us_per_member_s"` // mean CPU time of a process
	RSS         float64 `json:"rss_mb"`              // mean resident memory of a process
	JoinSeconds float64 `json:"joined_s"`            // time from all being ready until all agree; 0 without a section
}

const (
	processConcurrency = 8     // processes that are started or polled at the same time
	maxProcessSeeds    = 3     // processes whose addresses all others have as seeds
	processFleetLabel  = "lab" // name of the fleet in the members' settings
)

// MeasureProcesses runs sidecar processes of a program, without and with the section "members" in their configuration,
// and measures their usage for a window of time. Their list of servers is empty and they have no clients. The other
// settings of the processes are those of s.
func (m *Experiment) MeasureProcesses(ctx context.Context, s *scenario.Scenario, program string,
	window time.Duration) (*Result, error) {
	start, r := time.Now(), &Result{}
	for _, n := range m.Sizes {
		for _, section := range []bool{false, true} {
			p, err := m.measureProcesses(ctx, s, program, n, section, window)
			if err != nil {
				return nil, fmt.Errorf("%d sidecars, section members: %v: %w", n, section, err)
			}
			r.Processes = append(r.Processes, *p)
			if m.Progress != nil {
				fmt.Fprintf(m.Progress, "%d sidecars, section members: %v: %.0f us a second, %.1f MB\n", n, section, p.CPU, p.RSS)
			}
		}
	}
	r.ElapsedSeconds = time.Since(start).Seconds()
	return r, nil
}

// processFleet is a fleet of sidecar processes.
type processFleet struct {
	experiment  *Experiment
	scenario    *scenario.Scenario
	plan        *scenario.Plan
	program     string
	dir         string
	withMembers bool
	seeds       []string // member addresses of the first processes
	discovery   *agent.Agents
	children    *process.Supervisor
	sidecars    []*testbed.Sidecar
}

// measureProcesses runs n sidecars, waits until they agree and are quiet, and measures their usage.
func (m *Experiment) measureProcesses(ctx context.Context, s *scenario.Scenario, program string, n int,
	section bool, window time.Duration) (*ProcessResult, error) {
	dir, err := os.MkdirTemp("", "marblelane-members-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	sized := *s
	sized.Sidecars.Count = n
	f := &processFleet{experiment: m, scenario: s, plan: sized.Plan(m.Seed), program: program, dir: dir, withMembers: section,
		children: process.NewSupervisor(), sidecars: make([]*testbed.Sidecar, n)}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	result := &ProcessResult{Members: n, WithMembers: section}
	if section {
		start := time.Now()
		if err := m.awaitProcessAgreement(ctx, f.sidecars); err != nil {
			return nil, err
		}
		result.JoinSeconds = time.Since(start).Seconds()
	}
	// Members gossip about a join for a time that increases with the size of the fleet.
	if !harness.Sleep(ctx, m.Interval*time.Duration(5+n/5)) {
		return nil, context.Cause(ctx)
	}
	return result, f.measure(ctx, window, result)
}

// start starts the discovery service and then all sidecars, and waits until they are ready.
func (f *processFleet) start(ctx context.Context) error {
	n := len(f.sidecars)
	var err error
	f.discovery, err = agent.New(record.New(), n, nil, func(int, int) string { return "" }, func(int) *relay.Link {
		return relay.NewLink(relay.Rules{}, f.experiment.Seed)
	})
	if err != nil {
		return err
	}
	for range min(maxProcessSeeds, n) {
		addr, err := harness.FreeMemberAddr("127.0.0.1")
		if err != nil {
			return err
		}
		f.seeds = append(f.seeds, addr)
	}
	ctx, cancel := context.WithTimeout(ctx, harness.StartTimeout)
	defer cancel()
	return harness.Parallel(n, processConcurrency, func(i int) error { return f.startSidecar(ctx, i) })
}

// startSidecar starts one sidecar and waits until it is ready.
func (f *processFleet) startSidecar(ctx context.Context, i int) error {
	text, err := json.Marshal(f.config(i))
	if err != nil {
		return err
	}
	name := f.plan.Sidecars[i].Name
	dir := filepath.Join(f.dir, name)
	file := filepath.Join(dir, "config.json")
	if err := errors.Join(os.MkdirAll(dir, 0o755), os.WriteFile(file, text, 0o644)); err != nil {
		return err
	}
	f.sidecars[i], err = testbed.Start(ctx, f.children, process.Spec{Name: name, Path: f.program, Dir: dir,
		Env: []string{"NODE_CONFIG=" + file, "TMPDIR=" + dir}})
	return err
}

// config returns the configuration of a sidecar.
func (f *processFleet) config(i int) map[string]any {
	p := &f.plan.Sidecars[i]
	config := testbed.BaseConfig(f.scenario, p.Seed, f.discovery.Addr(i), f.plan.Settings(i))
	config["name"] = p.Name
	if f.withMembers {
		members := membership.Section{Fleet: processFleetLabel, Bind: "127.0.0.1:0", Interval: f.experiment.Interval.String()}
		if i < len(f.seeds) {
			members.Bind = f.seeds[i]
		}
		members.Seeds = slices.DeleteFunc(slices.Clone(f.seeds), func(addr string) bool { return addr == members.Bind })
		config["members"] = members
	}
	return config
}

// measure sets the mean CPU time and memory of a sidecar over a window of time in out.
func (f *processFleet) measure(ctx context.Context, window time.Duration, out *ProcessResult) error {
	before, err := f.totalUsage()
	if err != nil {
		return err
	}
	start := time.Now()
	if !harness.Sleep(ctx, window) {
		return context.Cause(ctx)
	}
	seconds := time.Since(start).Seconds()
	after, err := f.totalUsage()
	if err != nil {
		return err
	}
	n := float64(len(f.sidecars))
	out.CPU, out.RSS = 1e6*(after.CPU-before.CPU)/seconds/n, float64(after.RSS)/n/(1<<20)
	return nil
}

// totalUsage returns the total CPU time and memory of all sidecars.
func (f *processFleet) totalUsage() (sum process.Usage, err error) {
	for _, c := range f.sidecars {
		u, err := process.Measure(c.PID)
		if err != nil {
			return sum, err
		}
		sum.CPU, sum.RSS = sum.CPU+u.CPU, sum.RSS+u.RSS
	}
	return sum, nil
}

// close ends the sidecars and the discovery service.
func (f *processFleet) close() {
	f.children.Close()
	if f.discovery != nil {
		f.discovery.Close()
	}
}

// awaitProcessAgreement waits until each process reports exactly all processes as its members.
func (m *Experiment) awaitProcessAgreement(ctx context.Context, sidecars []*testbed.Sidecar) error {
	ctx, cancel := context.WithTimeout(ctx, m.EventTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: harness.CallTimeout}
	for {
		reports := make([]membership.Report, len(sidecars))
		err := harness.Parallel(len(sidecars), processConcurrency, func(i int) error {
			return fetchReport(ctx, client, sidecars[i].Management, &reports[i])
		})
		if err == nil {
			ids := make([]roster.ID, len(reports))
			for i := range reports {
				ids[i] = reports[i].Self
			}
			if err = checkAgreement(reports, ids); err == nil {
				return nil
			}
		}
		if !harness.Sleep(ctx, m.Interval/5) {
			return fmt.Errorf("sidecars do not agree on the members: %w", err)
		}
	}
}

// fetchReport gets the members that a sidecar reports on its management address.
func fetchReport(ctx context.Context, client *http.Client, management string, report *membership.Report) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+management+"/members", nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: unexpected status %s", req.URL, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(report)
}
