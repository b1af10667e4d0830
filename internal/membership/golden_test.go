package membership

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"marblelane/internal/membership/roster"
)

// The wire formats of messages and metadata must not change, as processes of several versions share a fleet.

// goldenEntries returns the entries of the golden file message-entries.json.
func goldenEntries() []roster.Entry {
	return []roster.Entry{
		{Name: "process-0", Start: 1_700_000_000_000, Addr: "127.0.0.1:7946"},
		{Name: "process-1", Start: 1_700_000_000_001, GoneStart: 1_700_000_000_001, Proof: roster.ProofRefused, Addr: "127.0.0.2:7946"},
		{Name: "process-2", Start: 1_700_000_000_002, GoneStart: 1_600_000_000_000, Proof: roster.ProofAddressReused, Addr: "[::1]:7946"},
		{Name: "process-3-é", Start: 3, GoneStart: 3, Proof: roster.ProofOperator},
		{Name: "process-4", Start: 4, GoneStart: 4, Proof: roster.ProofLeft, Addr: "127.0.0.4:1", Observer: true},
	}
}

func TestGoldenMessages(t *testing.T) {
	joining, acknowledging := processID{"process-0", 1_700_000_000_000}, processID{"process-2", 1_700_000_000_002}
	request := encodeEntries(kindAckRequest, goldenEntries()[0])
	request.Sender = joining
	for name, want := range map[string]message{
		"entries": encodeEntries(kindEntries, goldenEntries()...),
		"ask":     request,
		"ack":     {Version: messageVersion, Kind: kindAck, Sender: acknowledging, Acknowledged: joining, Digest: 1<<63 + 1},
	} {
		t.Run(name, func(t *testing.T) {
			stored, err := os.ReadFile("testdata/golden/message-" + name + ".json")
			require.NoError(t, err)
			got, err := decodeMessage(stored, nil)
			require.NoError(t, err)
			assert.Equal(t, want, got)
			assert.Equal(t, string(stored), string(got.bytes()), "the same message has the same bytes")
		})
	}
}

func TestGoldenMetadata(t *testing.T) {
	for name, want := range map[string]meta{
		"full": {Name: "process-0", Start: 1_700_000_000_000, Zone: "zone-é", Role: "sidecar", Version: "1.2.3",
			Observer: true},
		"empty": {Name: "p", Start: 1},
	} {
		t.Run(name, func(t *testing.T) {
			stored, err := os.ReadFile("testdata/golden/meta-" + name + ".json")
			require.NoError(t, err)
			got, err := decodeMeta(stored)
			require.NoError(t, err)
			assert.Equal(t, want, got)
			again, err := got.encode()
			require.NoError(t, err)
			assert.Equal(t, string(stored), string(again))
		})
	}
}
