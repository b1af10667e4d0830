package view

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"marblelane/internal/membership"
	"marblelane/internal/membership/roster"
)

// TestWireForms compares the JSON form of differences and the digest of a report with a golden file.
func TestWireForms(t *testing.T) {
	report := func(addr string, state membership.MemberState, proof string) *membership.Report {
		return &membership.Report{Self: roster.ID{Name: addr, Start: 1}, Members: []membership.Member{
			{Name: addr, Start: 1, State: membership.Alive, SinceMS: 90},
			{Name: "x", Start: 7, State: state, Proof: proof, SinceMS: 40}}}
	}
	alive, gone := report("a", membership.Alive, ""), report("b", membership.Gone, "refused")
	stillAlive := report("b", membership.Alive, "")
	got := ""
	for _, all := range [][]Observation{
		{{Addr: "h:1", First: alive, Second: alive}, {Addr: "h:2", First: gone, Second: gone}},
		{{Addr: "h:1", First: alive, Second: alive}, {Addr: "h:2", First: stillAlive, Second: gone}},
		{{Addr: "h:1", First: alive, Second: alive}, {Addr: "h:2", First: gone, Second: stillAlive}},
	} {
		text, err := json.Marshal(Diff(all))
		require.NoError(t, err)
		got += string(text) + "\n"
	}
	got += fmt.Sprintf("%016x %016x\n", Digest(alive), Digest(gone))
	want, err := os.ReadFile("testdata/wire.txt")
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}
