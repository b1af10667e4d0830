package members

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/lab/harness"
	"marblelane/internal/lab/invariant"
	"marblelane/internal/lab/record"
	"marblelane/internal/lab/report"
	"marblelane/internal/lab/scenario"
)

const threeMembers = `
title = "three members"
length = "9s"
[sidecars]
count = 3
[servers]
count = 3
[network]
zones = ["here"]
[members]
interval = "200ms"
`

// expectDial dials the endpoint of one party from another and checks whether the connection is accepted ("taken"),
// refused, or times out ("silent").
func expectDial(t *testing.T, want string, from, to *Endpoint, why ...any) {
	t.Helper()
	wait := 5 * time.Second
	if want == "silent" {
		wait = 100 * time.Millisecond
	}
	host, _, err := net.SplitHostPort(from.bindAddr)
	require.NoError(t, err)
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}, Timeout: wait}
	c, err := d.DialContext(t.Context(), "tcp4", to.Addr())
	got := "taken"
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		got = "refused"
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		got = "silent"
	case assert.NoError(t, err):
		c.Close()
	}
	assert.Equal(t, want, got, why...)
}

// An endpoint refuses connections when the host of its process would, but not through a cut. Packets and connections
// pass only where the active faults let them.
func TestEndpoint_rejectsAsItsHost(t *testing.T) {
	s, err := scenario.Parse("test.toml", []byte(threeMembers))
	require.NoError(t, err)
	m, err := New(&harness.Run{Scenario: s, Plan: s.Plan(1)})
	require.NoError(t, err)
	defer m.Close()
	endpoints := []*Endpoint{m.newestEndpoint(0), m.newestEndpoint(1), m.newestEndpoint(2)}
	expectDial(t, "refused", endpoints[0], endpoints[1], "before the process starts")
	process, err := net.Listen("tcp4", endpoints[1].bindAddr)
	require.NoError(t, err)
	defer process.Close()
	packets, err := net.ListenPacket("udp4", endpoints[1].bindAddr)
	require.NoError(t, err)
	defer packets.Close()
	out, err := net.ListenPacket("udp4", endpoints[0].bindAddr)
	require.NoError(t, err)
	defer out.Close()
	expectPacket := func(want bool) {
		t.Helper()
		wait := 5 * time.Second
		if !want {
			wait = 100 * time.Millisecond
		}
		to, err := net.ResolveUDPAddr("udp4", endpoints[1].Addr())
		require.NoError(t, err)
		_, err = out.WriteTo([]byte("x"), to)
		require.NoError(t, err)
		require.NoError(t, packets.SetReadDeadline(time.Now().Add(wait)))
		_, _, err = packets.ReadFrom(make([]byte, 9))
		assert.Equal(t, want, err == nil)
	}
	_, err = m.Prepare(1)
	require.NoError(t, err)
	expectDial(t, "taken", endpoints[0], endpoints[1])
	expectPacket(true)
	for way, want := range map[string]struct {
		to, from string // outcome of a connection to the cut-off party, and from it
		arrives  bool   // a packet to the cut-off party arrives
	}{
		"to": {"silent", "silent", false}, "from": {"silent", "silent", true},
		"both": {"silent", "silent", false}, "in": {"silent", "refused", false},
	} {
		cut := &scenario.FaultPlan{Fault: scenario.Fault{Kind: "members-cut", Direction: way}, Sidecars: []int{1}}
		require.NoError(t, m.SetFault(cut, true))
		expectDial(t, want.to, endpoints[0], endpoints[1], way)
		expectDial(t, want.from, endpoints[1], endpoints[0], "%s: called party without a process", way)
		expectPacket(want.arrives)
		m.ProcessEnded(endpoints[1], nil)
		expectDial(t, "silent", endpoints[0], endpoints[1], "%s: a refusal must not pass the cut", way)
		require.NoError(t, m.SetFault(cut, false))
		expectDial(t, "refused", endpoints[0], endpoints[1], way)
		endpoints[1].assigned = false // let the next process use this endpoint
		_, err = m.Prepare(1)
		require.NoError(t, err)
	}
	reject := &scenario.FaultPlan{Fault: scenario.Fault{Kind: "members-refuse"}, Sidecars: []int{1}}
	require.NoError(t, m.SetFault(reject, true))
	expectDial(t, "refused", endpoints[0], endpoints[1], "refused although the process is live")
	expectDial(t, "silent", endpoints[1], endpoints[0])
	expectPacket(false)
	require.NoError(t, m.SetFault(reject, false))
	expectDial(t, "taken", endpoints[0], endpoints[1])
	lose := &scenario.FaultPlan{Fault: scenario.Fault{Kind: "members-lose", Size: 1}, Sidecars: []int{0}}
	require.NoError(t, m.SetFault(lose, true))
	expectPacket(false)
	expectDial(t, "taken", endpoints[0], endpoints[1])
}

// The members section of a report is computed from the records.
func TestResult_ofRecords(t *testing.T) {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	var events []record.Event
	add := func(s float64, kind record.Kind, serial int, note string) *record.Event {
		events = append(events, record.Event{T: at(s), Kind: kind, Sidecar: int32(serial), Sum: uint64(serial), Note: note,
			N: int64(serial)})
		return &events[len(events)-1]
	}
	addView := func(s float64, serial, known, reachable int) {
		e := add(s, record.MembershipStatus, serial, "")
		e.Status, e.Attempt, e.Canary, e.Work = int32(known), int16(reachable), true, 3
	}
	addStatus := func(s float64, by, of int, note string) { add(s, record.MemberStatus, by, note).N = int64(of) }
	for serial := range 3 {
		add(-1, record.MemberProcess, serial, invariant.MemberServes)
		addView(0, serial, 3, 3)
	}
	addStatus(0, 0, 2, "alive n2")
	addStatus(0, 1, 2, "alive n2")
	addStatus(0, 0, 1, "alive n1")
	addStatus(0, 2, 0, "silent n0") // no message yet
	addStatus(1, 0, 1, "silent n1")
	addView(2, 1, 3, 3)
	add(3, record.MemberProcess, 2, invariant.MemberEnded)
	addStatus(5, 0, 2, "silent n2")
	addStatus(6, 1, 2, "silent n2")
	addStatus(7, 0, 2, "gone n2 refused")
	addView(8, 0, 2, 2)
	addView(9, 1, 2, 2)
	out := Result(events, &invariant.Members{Names: []string{"n0", "n1", "n2"}, Sidecars: 3, Peers: 3})
	assert.Equal(t, 1, out.Deaths)
	assert.Equal(t, []time.Duration{at(2), at(3)}, out.Noticed.Durations)
	once := report.Times{Cases: 2, Never: 1, P50: 4000, P99: 4000, Max: 4000, Durations: []time.Duration{at(4)}}
	assert.Equal(t, once, out.CountedOut)
	assert.Equal(t, []int{1, 1, 0}, []int{out.FalseSilent, out.UnexplainedSilent, out.FalseGone})
	assert.Equal(t, 6000.0, out.AgreeMS)
	assert.Equal(t, [2]int{2, 2}, out.Known)
	three := 3
	assert.Len(t, out.MissedExpectations(&scenario.Expect{Members: &three}), 1)
}
