package membership

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marblelane/internal/membership/roster"
)

// TestWireForms compares encoded messages, metadata and reports with recorded bytes. The files in testdata/wire are the
// contract with processes of other versions. Changing one of them changes the protocol.
func TestWireForms(t *testing.T) {
	joining := roster.Entry{Name: "side-1", Start: 1700000000123, Addr: "10.1.0.7:7946"}
	request := encodeEntries(kindAckRequest, joining)
	request.Sender, request.Digest = processID{joining.Name, joining.Start}, 1<<63
	metadata, err := meta{Name: "side-1", Start: 7, Zone: "zone-a", Role: "sidecar", Version: "1.2.3", Observer: true}.encode()
	require.NoError(t, err)
	for name, got := range map[string][]byte{
		"entries.json": encodeEntries(kindEntries,
			joining,
			roster.Entry{Name: "side-2", Start: 5, GoneStart: 5, Proof: roster.ProofRefused, Addr: "10.1.0.8:7946"},
			roster.Entry{Name: "side-3", Start: 6, GoneStart: 6, Proof: roster.ProofAddressReused},
			roster.Entry{Name: "side-4", Start: 7, GoneStart: 7, Proof: roster.ProofOperator},
			roster.Entry{Name: "side-5", Start: 9, GoneStart: 8, Proof: roster.ProofLeft},
			roster.Entry{Name: "copy-1", Start: 10, Observer: true}).bytes(),
		"ask.json":  request.bytes(),
		"ack.json":  message{Kind: kindAck, Sender: processID{"side-2", 5}, Acknowledged: processID{"side-1", 1700000000123}, Digest: 9}.bytes(),
		"meta.json": metadata,
		"report.json": marshal(t, Report{Self: roster.ID{Name: "side-1", Start: 7}, Fleet: "shannonside", UnixMS: 1700000000123,
			View:    roster.View{Known: 3, Reachable: 2, Admitted: true, Forced: true},
			Changes: 4, Dropped: 5, EstimatedSize: 2.5,
			Members: []Member{
				{Name: "side-1", Start: 7, Addr: "10.1.0.7:7946", Zone: "zone-a", Role: "sidecar", Version: "1.2.3", State: Alive,
					SinceMS: 10, Duplicate: true},
				{Name: "side-2", Start: 1, State: Suspected, SinceMS: 11},
				{Name: "side-3", Start: 1, State: Unreachable, SinceMS: 12, LastAliveMS: 13},
				{Name: "side-4", Start: 1, State: Gone, Proof: proofText(roster.ProofRefused), LastAliveMS: -1},
				{Name: "side-5", Start: 1, State: Gone, Proof: proofText(roster.ProofAddressReused), LastAliveMS: -1},
				{Name: "side-6", Start: 1, State: Gone, Proof: proofText(roster.ProofOperator), LastAliveMS: -1},
				{Name: "side-7", Start: 1, State: Gone, Proof: proofText(roster.ProofLeft), LastAliveMS: -1},
				{Name: "side-8", Start: 1, State: Gone, Proof: proofText(9), LastAliveMS: -1},
			}}),
		"digests.json": marshal(t, digests()),
	} {
		want, err := os.ReadFile(filepath.Join("testdata", "wire", name))
		require.NoError(t, err)
		require.Equal(t, string(want), string(got), name)
	}
}

// digests returns the digests of a roster that waits for admission, that is admitted by timeout, that knows a second
// member, and that has its acknowledgement.
func digests() []uint64 {
	r := roster.New(0, roster.Options{Self: roster.ID{Name: "side-1", Start: 7}, AdmitWithin: time.Second})
	all := []uint64{r.Digest()}
	r.View(time.Second)
	all = append(all, r.Digest())
	r.Merge(time.Second, roster.Entry{Name: "side-2", Start: 5})
	all = append(all, r.Digest())
	r.HandleDigest(roster.ID{Name: "side-2", Start: 5}, r.Digest()|3)
	return append(all, r.Digest())
}

func marshal(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.Marshal(v)
	require.NoError(t, err)
	return text
}
