package simulate_test

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math"
	"runtime"
	"testing"

	"marblelane/balance"
	"marblelane/internal/lab/simulate"
)

// wantDigest is the SHA-256 of all actions of TestRun_actionDigest. It changes only with a change of a decision: a
// change that only rearranges code must not change it.
const wantDigest = "7f1fc3babe7d9d794e6c2ef79aa8897db014cc721ca5133a7c4a86b378386d8a"

// TestRun_actionDigest hashes all decisions of the balancers in ten simulated scenarios, each with a different seed, to
// detect an unintended change of a decision.
func TestRun_actionDigest(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("other architectures may fuse floating-point operations, which changes the last digits")
	}
	sum := sha256.New()
	for i, name := range []string{
		"calm", "zone-crash", "zone-lost", "zone-rolls", "zone-grey", "zone-flaps", "overload", "region-lost", "slow-servers",
		"zone-cut-self",
	} {
		observe := func(sidecar int, actions []balance.Action) {
			for _, a := range actions {
				for _, v := range []uint64{
					uint64(sidecar), uint64(a.Kind), uint64(a.Request), uint64(a.Attempt), uint64(a.Server),
					math.Float64bits(a.At), a.Token, uint64(a.Source), uint64(a.After),
				} {
					var word [8]byte
					binary.LittleEndian.PutUint64(word[:], v)
					sum.Write(word[:])
				}
			}
		}
		plan := loadScenario(t, name).Plan(uint64(i + 1))
		if _, err := simulate.Run(context.Background(), plan, simulate.Options{Observe: observe}); err != nil {
			t.Fatal(err)
		}
	}
	got := hex.EncodeToString(sum.Sum(nil))
	t.Logf("digest of all actions: %s", got)
	if got != wantDigest {
		t.Errorf("digest of all actions is %s, want %s: a decision has changed", got, wantDigest)
	}
}
