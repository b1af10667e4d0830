package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"marblelane/internal/lab/agent"
	"marblelane/internal/lab/process"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/relay"
	"marblelane/internal/lab/scenario"
	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
)

// MemberProcesses is what real sidecars take when nothing happens.
type MemberProcesses struct {
	Members int     `json:"members"`
	Section bool    `json:"section"`             // they have a section members; else the same without it
	CPU     float64 `json:"cpu_us_per_member_s"` // of one process, mean
	RSS     float64 `json:"rss_mb"`              // of one process, mean
	Joined  float64 `json:"joined_s"`            // until all agree, from when the last was ready; 0 without the section
}

// Processes measures real sidecars of a program, with the section members and without it, for a window of time. They
// follow an empty list and have no clients; s gives their settings.
func (m *MemberScale) Processes(ctx context.Context, s *scenario.Scenario, program string,
	window time.Duration) (*MemberScaleResult, error) {
	began, r := time.Now(), &MemberScaleResult{}
	for _, n := range m.Sizes {
		for _, section := range []bool{false, true} {
			p, err := m.processes(ctx, s, program, n, section, window)
			if err != nil {
				return nil, fmt.Errorf("%d sidecars, section members: %v: %w", n, section, err)
			}
			r.Processes = append(r.Processes, *p)
			if m.Progress != nil {
				fmt.Fprintf(m.Progress, "%d sidecars, section members: %v: %.0f us a second, %.1f MB\n", n, section, p.CPU, p.RSS)
			}
		}
	}
	r.TookS = time.Since(began).Seconds()
	return r, nil
}

func (m *MemberScale) processes(ctx context.Context, s *scenario.Scenario, program string, n int,
	section bool, window time.Duration) (*MemberProcesses, error) {
	dir, err := os.MkdirTemp("", "marblelane-members-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	sized := *s
	sized.Sidecars.Count = n
	plan := sized.Plan(m.Seed)
	list, err := agent.New(record.New(), n, nil, func(int, int) string { return "" }, func(int) *relay.Link {
		return relay.NewLink(relay.Rules{}, m.Seed)
	})
	if err != nil {
		return nil, err
	}
	defer list.Close()
	var seeds []string
	for range min(3, n) {
		addr, err := freeForBoth("127.0.0.1")
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, addr)
	}
	nursery := process.NewSupervisor()
	defer nursery.Close()
	all, manage := make([]*process.Child, n), make([]string, n)
	starting, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	err = parallel(n, 8, func(i int) error {
		p := &plan.Sidecars[i]
		config := map[string]any{"name": p.Name, "listen": "127.0.0.1:0", "discovery": list.Addr(i),
			"management": "127.0.0.1:0", "seed": strconv.FormatUint(p.Seed, 16), "settings": plan.Settings(i),
			"limits": map[string]any{"cores": s.Sidecars.Cores, "memory_mb": s.Sidecars.MemoryMB,
				"sockets": s.Sidecars.MaxSockets}}
		if section {
			members := membership.Section{Fleet: memberFleet, Bind: "127.0.0.1:0", Interval: m.Interval.String()}
			if i < len(seeds) {
				members.Bind = seeds[i]
			}
			members.Seeds = slices.DeleteFunc(slices.Clone(seeds), func(addr string) bool { return addr == members.Bind })
			config["members"] = members
		}
		text, err := json.Marshal(config)
		if err != nil {
			return err
		}
		own := filepath.Join(dir, p.Name)
		file := filepath.Join(own, "config.json")
		if err := errors.Join(os.MkdirAll(own, 0o755), os.WriteFile(file, text, 0o644)); err != nil {
			return err
		}
		all[i], err = nursery.Start(process.Spec{Name: p.Name, Path: program, Dir: own,
			Env: []string{"NODE_CONFIG=" + file, "TMPDIR=" + own}})
		if err != nil {
			return err
		}
		ready, err := all[i].AwaitLog(starting, readyText)
		for _, field := range strings.Fields(ready) {
			if addr, ok := strings.CutPrefix(field, "management="); ok {
				manage[i] = addr
			}
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	out := &MemberProcesses{Members: n, Section: section}
	if section {
		began := time.Now()
		if err := m.processesAgree(ctx, manage); err != nil {
			return nil, err
		}
		out.Joined = time.Since(began).Seconds()
	}
	// What the joining set off is told on for a while, the longer the larger the fleet.
	if !sleep(ctx, m.Interval*time.Duration(5+n/5)) {
		return nil, context.Cause(ctx)
	}
	measure := func() (sum process.Usage, err error) {
		for _, c := range all {
			u, err := process.Measure(c.PID)
			if err != nil {
				return sum, err
			}
			sum.CPU, sum.RSS = sum.CPU+u.CPU, sum.RSS+u.RSS
		}
		return sum, nil
	}
	before, err := measure()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if !sleep(ctx, window) {
		return nil, context.Cause(ctx)
	}
	took := time.Since(began).Seconds()
	after, err := measure()
	if err != nil {
		return nil, err
	}
	out.CPU, out.RSS = 1e6*(after.CPU-before.CPU)/took/float64(n), float64(after.RSS)/float64(n)/(1<<20)
	return out, nil
}

// processesAgree waits until all processes report exactly each other.
func (m *MemberScale) processesAgree(ctx context.Context, manage []string) error {
	ctx, cancel := context.WithTimeout(ctx, m.Wait)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callWait}
	for {
		reports := make([]membership.Report, len(manage))
		err := parallel(len(manage), 8, func(i int) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+manage[i]+"/members", nil)
			if err != nil {
				return err
			}
			resp, err := client.Do(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("GET %s is answered %s", req.URL, resp.Status)
			}
			return json.NewDecoder(resp.Body).Decode(&reports[i])
		})
		if err == nil {
			ids := make([]roster.ID, len(reports))
			for i := range reports {
				ids[i] = reports[i].Self
			}
			if err = disagreement(reports, ids); err == nil {
				return nil
			}
		}
		if !sleep(ctx, m.Interval/5) {
			return fmt.Errorf("they do not agree: %w", err)
		}
	}
}
