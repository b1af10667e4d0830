package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fleetProcess is a stand-in for a process with membership enabled.
type fleetProcess struct {
	addr     string
	mu       sync.Mutex
	received []string // calls, in order
}

func (p *fleetProcess) calls() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.received, "; ")
}

// newFleetProcess starts a stand-in that returns the reports in order, then always the last one. A watch gets all of
// them.
func newFleetProcess(t *testing.T, reports ...string) *fleetProcess {
	t.Helper()
	p, watches := &fleetProcess{}, 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		body, _ := io.ReadAll(r.Body)
		switch {
		case r.URL.Path == "/members" && r.URL.Query().Get("watch") == "1":
			if watches++; watches > 1 {
				http.Error(w, "gone", http.StatusNotFound)
				return
			}
			fmt.Fprintln(w, strings.Join(reports, "\n\n"))
		case r.URL.Path == "/members":
			fmt.Fprintln(w, reports[min(watches, len(reports)-1)])
			watches++
		default:
			p.received = append(p.received, r.Method+" "+r.URL.Path+" "+string(body))
		}
	}))
	t.Cleanup(srv.Close)
	p.addr = strings.TrimPrefix(srv.URL, "http://")
	return p
}

func fleetReport(fleet, state string) string {
	return fmt.Sprintf(`{"self":{"name":"n0","start":5},"fleet":%q,"view":{"known":2,"heard":2,"admitted":true},`+
		`"believed":1.5,"members":[`+
		`{"name":"n0","start":5,"state":"alive","since_ms":70000},`+
		`{"name":"n1","start":6,"state":%q,"since_ms":1500,"heard_ms":-1,"twin":true}]}`, fleet, state)
}

func TestMembersCommands(t *testing.T) {
	alive, silent, gone := fleetReport("f", "alive"), fleetReport("f", "silent"), fleetReport("f", "gone")
	one, two := newFleetProcess(t, alive).addr, newFleetProcess(t, alive).addr
	off := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(off.Close)
	without := strings.TrimPrefix(off.URL, "http://")
	for _, c := range []struct {
		name       string
		args       []string
		code       int
		wantOutput []string
	}{
		{"list", []string{"list", one}, 0,
			[]string{`n0@5 in fleet "f": 2 known, 2 heard, admitted, estimated size 1.5; `,
				"n1    6      alive  1.5s   never", "twin"}},
		{"list as JSON", []string{"list", one, "--json"}, 0, []string{`"since_ms": 1500`}},
		{"no address", []string{"list", "there"}, 2, []string{`ADDR "there" is not HOST:PORT`}},
		{"nobody there", []string{"list", "127.0.0.1:1"}, 2, []string{"ADDR 127.0.0.1:1: ", "refused"}},
		{"off", []string{"list", without}, 2, []string{"ADDR " + without + ": response status 404"}},
		{"no time", []string{"list", one, "--wait", "0s"}, 2, []string{"--wait 0s"}},
		{"watch", []string{"watch", newFleetProcess(t, alive, silent).addr}, 2,
			[]string{"n1@6: unknown -> alive", "2 known, 2 heard", "n1@6: alive -> silent", "retrying in", "response status 404"}},
		{"gone, no such name", []string{"gone", one, "n7", "6"}, 2, []string{"NAME n7:"}},
		{"gone, no such start", []string{"gone", one, "n1", "7"}, 2, []string{"START 7:", "the starts 6"}},
		{"gone, no number", []string{"gone", one, "n1", "x"}, 2, []string{"<start>"}},
		{"gone, but alive", []string{"gone", one, "n1", "6"}, 2, []string{"--yes: required because n1@6 is alive"}},
		{"gone already", []string{"gone", newFleetProcess(t, gone).addr, "n1", "6"}, 0, []string{"already"}},
		{"diff of equal ones", []string{"diff", one, two, "--apart", "1ms"}, 0,
			[]string{"at each of 2 processes\nin agreement"}},
		{"diff, lasting", []string{"diff", one, newFleetProcess(t, silent).addr, "--apart", "1ms"}, 1,
			[]string{"n1@6: persistent difference, for 1.5s", "silent  for 1.5s", "not in agreement"}},
		{"diff, news", []string{"diff", one, newFleetProcess(t, alive, gone).addr, "--apart", "1ms"}, 1,
			[]string{"difference while a change propagates", "digest"}},
		{"diff, settled", []string{"diff", one, newFleetProcess(t, silent, alive).addr, "--apart", "1ms"}, 0,
			[]string{"difference resolved"}},
		{"diff, one away", []string{"diff", one, two, "127.0.0.1:1", "--apart", "1ms", "--json"}, 2,
			[]string{`"in_agreement": true`, `"127.0.0.1:1": "dial`}},
		{"diff, one away and not equal", []string{"diff", one, newFleetProcess(t, gone).addr, "127.0.0.1:1",
			"--apart", "1ms"}, 1, []string{"ADDR 127.0.0.1:1: query failed"}},
		{"diff, one left", []string{"diff", one, "127.0.0.1:1", "--apart", "1ms"}, 2, []string{"nothing to compare"}},
		{"diff of one", []string{"diff", one}, 2, []string{"ADDR: at least two"}},
		{"diff, twice the same", []string{"diff", one, one}, 2, []string{"duplicate address"}},
		{"diff of two fleets", []string{"diff", one, newFleetProcess(t, fleetReport("g", "alive")).addr,
			"--apart", "1ms"}, 2, []string{`belongs to fleet "g"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			code := run(t.Context(), append([]string{"members"}, c.args...), &out, &out)
			assert.Equal(t, c.code, code, out.String())
			for _, part := range c.wantOutput {
				assert.Contains(t, out.String(), part)
			}
		})
	}
	for _, c := range []struct{ report, args, call string }{
		{silent, "gone n1 6", `POST /members/gone {"name":"n1","start":6}`},
		{alive, "gone n1 6 --yes", `POST /members/gone {"name":"n1","start":6}`},
		{alive, "leave", "POST /members/leave "},
	} {
		p := newFleetProcess(t, c.report)
		words := strings.Fields(c.args)
		args := append([]string{"members", words[0], p.addr}, words[1:]...)
		require.Equal(t, exitOK, run(t.Context(), args, io.Discard, io.Discard))
		assert.Equal(t, c.call, p.calls())
	}
}

// A watch that is interrupted exits with code 0.
func TestMembersWatchEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := newFleetProcess(t, fleetReport("f", "alive"))
	code := make(chan int, 1)
	ended, out := make(chan struct{}), &bytes.Buffer{}
	go func() {
		defer close(ended)
		code <- run(ctx, []string{"members", "watch", "--json", p.addr}, writerFunc(func(b []byte) (int, error) {
			cancel()
			return out.Write(b)
		}), io.Discard)
	}()
	<-ended
	assert.Equal(t, exitOK, <-code)
	assert.True(t, json.Valid(out.Bytes()), out.String())
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

func TestRequestCostCommand(t *testing.T) {
	sidecarProcess := filepath.Join(programs, "sidecar")
	section := filepath.Join(t.TempDir(), "doubt.json")
	require.NoError(t, os.WriteFile(section, []byte(`{"list_doubt_share":0.5}`), 0o644))
	quick := []string{"lab", "request-cost", "--rounds", "2", "--seconds", "0.1", "--connections", "2", "--quiet"}
	for _, c := range []struct {
		name       string
		args       []string
		code       int
		wantOutput string
	}{
		{"a section", []string{"--sidecar", sidecarProcess, "--with", section}, 0, "\ndoubt"},
		{"no program", []string{"--program", "a=" + section + "x"}, 2, "--program a="},
		{"no name", []string{"--program", "=" + sidecarProcess}, 2, "NAME=FILE"},
		{"no object", []string{"--program", "a=" + sidecarProcess, "--with", "b=" + sidecarProcess}, 2, "not a JSON object"},
		{"no base", []string{"--program", "a=" + sidecarProcess, "--base", "b"}, 2, `no variant "b"`},
		{"no members", []string{"--members", "-1"}, 2, "--members"},
		{"no time", []string{"--seconds", "0"}, 2, "--seconds 0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			code := run(t.Context(), append(quick, c.args...), &out, &out)
			assert.Equal(t, c.code, code, out.String())
			assert.Contains(t, out.String(), c.wantOutput)
		})
	}
}
