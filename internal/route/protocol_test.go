package route

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// protocolMessages returns each message between sidecars and the list service, once with every field set and once
// empty.
func protocolMessages() []any {
	p := Process{Name: "sidecar-1", Start: 1764720000000000001}
	return []any{
		&Report{
			Process: p, Seq: 3, Echo: LeaderTime{Leader: "a@1", MS: 50}, Version: "v", Config: "c0ffee", Schemas: []int{1, 2},
			ListRev: 4, AcknowledgedRev: 5, UnreadableRev: 6, NoLease: true, CountsTruncated: true, LostSamples: 7,
			Counts: []Count{{Rev: 5, Tenant: "t", Canary: true, Started: 9, Ended: 8, Failed: 2, Late: 1}},
		},
		&Report{},
		&ReportResponse{
			Stamp: LeaderTime{Leader: "a@1", MS: 60}, NewestRev: 5, LeaseMS: 5000, Resync: true,
			Table:  json.RawMessage(`{"schema":1}`),
			Reason: "a reason", NewestStart: 8,
		},
		&ReportResponse{},
		&BudgetRequest{Process: p, Budgets: []BudgetState{{Tenant: "t", Rollout: "r@5", Granted: 5, Spent: 1, Returned: 2, Wanted: 3}}},
		&BudgetRequest{},
		&BudgetResponse{Budgets: []BudgetGrant{{Tenant: "t", Rollout: "r@5", Granted: 6, MaxIdle: 2}}},
		&BudgetResponse{},
	}
}

// TestProtocol_wireForm compares the JSON of each message with a line of testdata/protocol.golden. The file contains
// what earlier builds send, so it must not be regenerated.
func TestProtocol_wireForm(t *testing.T) {
	text, err := os.ReadFile("testdata/protocol.golden")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, message := range protocolMessages() {
		line, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, string(line))
	}
	if diff := cmp.Diff(strings.Split(strings.TrimSpace(string(text)), "\n"), got); diff != "" {
		t.Error(diff)
	}
}

// TestFinding_wireForm verifies the JSON of a finding in HTTP rejections. Its keys are the Go names of the fields.
func TestFinding_wireForm(t *testing.T) {
	text, err := json.Marshal(Finding{Path: "routes[0].classes", Field: "classes", Effect: "an effect"})
	if want := `{"Path":"routes[0].classes","Field":"classes","Effect":"an effect"}`; err != nil || string(text) != want {
		t.Errorf("%s, %v, want %s", text, err, want)
	}
}
