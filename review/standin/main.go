// Command standin runs the cases of the review: it starts sidecars with the run line of the deploy file and plays
// clients, stock servers and discovery around them on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Case is what a case gets to run with.
type Case struct {
	*Record
	Root, Dir string // the project's root, and a temporary folder
	Trouble   bool   // false: without the disruption
}

var cases = map[string]func(c *Case) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD, from the project's root; TROUBLE=0: without the disruption")
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("%v", err)
	}
	tempDir = dir
	rec := newRecord(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { cannotRun("ended by %v", <-signals) }()
	time.AfterFunc(115*time.Second, func() { cannotRun("the case took over 115 s") })
	c := &Case{Record: rec, Root: root, Dir: dir, Trouble: os.Getenv("TROUBLE") != "0"}
	broken := cases[os.Args[1]](c)
	endProcesses()
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		rec.Add("log of %s:\n%s", filepath.Base(path), text)
	}
	_ = os.RemoveAll(dir)
	if broken {
		rec.Say("result: the rule was broken")
		os.Exit(1)
	}
	rec.Say("result: the rule held")
}

func class(name, effect string, onTime, hardLimit, worth float64) map[string]any {
	return map[string]any{"effect": effect, "group": "all", "hard_limit_ms": hardLimit, "late_worth": 0.0, "name": name,
		"on_time_ms": onTime, "stream": false, "window_ms": 5000.0, "worth": worth}
}

// settings returns the settings of the wire page's example for a number of sidecars.
func settings(peers int) map[string]any {
	return map[string]any{
		"classes": []any{
			class("stock-lookup", "read_like", 600, 1500, 2), class("shelf-count", "read_like", 600, 3000, 2),
			class("parcel-issue", "non_idempotent", 600, 1500, 8), class("donation-intake", "non_idempotent", 1000, 5000, 3),
		},
		"clients": map[string]any{"marks_retry": false}, "discovery": "automatic",
		"family_info": map[string]any{"warm_keys": false}, "kinds": []string{"standard", "older"},
		"limits": map[string]any{"cancel": true, "conn_idle_ms": 5000.0, "connect_timeout_ms": 120.0, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 100000, "max_attempts": 3, "max_retry_after_ms": 3000.0, "may_tell": false, "open_cap": 25000,
			"parallel_tries": false, "probes": true, "retry_after": true, "streams_per_conn": 1},
		"my_number": 0, "over_share_worth": 0.2, "peers_total": peers,
		"penalties": map[string]any{"connection": 0.0, "cross_zone": 0.1, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.036,
			"moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.2},
		"quantum_ms": 5.0, "report": map[string]any{"fields": []string{}, "via": "silent"},
		"result_mix": map[string]any{"whole": 0.3, "worst_class": 0.3, "worst_tenant": 0.1, "worst_window": 0.3},
		"rules": map[string]any{"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.17, "cold_ms": 24000.0,
			"drain_grace_ms": 2000.0, "fall_ms": 3000.0, "fall_multiple": 4.0},
		"service_type": "mesh",
		"tenants": []any{
			map[string]any{"allowance_per_s": 51.0, "name": "shannonside", "share": 0.53},
			map[string]any{"allowance_per_s": 24.0, "name": "midwest-pantry", "share": 0.25},
			map[string]any{"allowance_per_s": 21.0, "name": "lee-valley", "share": 0.22},
		},
		"tier": 0, "tiers": []string{"stock-servers"}, "value_by": "request", "weights": "silent", "zone": 0,
		"zones": []string{"limerick-dc", "cork-dc"},
	}
}
