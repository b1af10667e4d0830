package transport

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A response to a request that was sent before a given time does not show that the replica followed after that time.
func TestAcknowledgedSince_staleResponses(t *testing.T) {
	sender := New(nil, time.Second)
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	sender.acknowledge("r1", 5, at(10))
	sender.acknowledge("r1", 5, at(9)) // the response to an older request arrives later
	for _, c := range []struct {
		id    string
		term  uint64
		after int
		want  bool
	}{
		{"r1", 5, 9, true}, {"r1", 5, 10, false}, {"r1", 5, 11, false}, // not sent after the given time
		{"r1", 4, 9, false}, {"r1", 6, 9, false}, {"r2", 5, 9, false},
	} {
		if got := sender.AcknowledgedSince(raft.ServerID(c.id), c.term, at(c.after)); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	if sender.acknowledge("r2", 6, at(12)); sender.AcknowledgedSince("r1", 6, at(1)) || !sender.AcknowledgedSince("r2", 6, at(11)) {
		t.Error("an acknowledgement of an earlier term counts in a later one")
	}
}
