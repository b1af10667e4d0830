package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

// frameScript is the input of a test, built frame by frame.
type frameScript struct{ bytes.Buffer }

// frame appends a frame with the given clock and records.
func (s *frameScript) frame(clock float64, records ...[]byte) {
	size := 16
	for _, r := range records {
		size += len(r)
	}
	binary.Write(s, binary.BigEndian, []uint32{uint32(len(records)), uint32(size)})
	binary.Write(s, binary.BigEndian, clock)
	for _, r := range records {
		s.Write(r)
	}
}

// record packs its fields in big-endian order.
func record(fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		binary.Write(&b, binary.BigEndian, f)
	}
	return b.Bytes()
}

// settings is a valid profile with one class.
const settings = `{"classes": [{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500}],
	"limits": {"max_attempts": 3}}`

// startRecord returns a record that starts an instance.
func startRecord(instance uint16, seed uint64, profile string) []byte {
	return record(uint16(1070), instance, seed, uint32(len(profile)), []byte(profile))
}

// stopRecord returns a record that kills an instance.
func stopRecord(instance uint16) []byte { return record(uint16(1060), instance) }

// timerRecord returns a record with a timer that is due.
func timerRecord(instance uint16, token uint64) []byte { return record(uint16(1020), instance, token) }

// tableRecord returns a record with a table of n servers.
func tableRecord(n int) []byte {
	b := record(uint16(1000), uint16(0), uint32(n))
	for i := range n {
		b = append(b, record(0.0, uint8(0), uint32(i+1), uint16(80), float32(1), uint16(i), uint8(0), uint8(0))...)
	}
	return b
}

// cachedListRecord returns a record that sends the table as a cached list.
func cachedListRecord(instance uint16) []byte {
	return record(uint16(1040), instance, uint8(1), uint32(1), uint16(0))
}

// requestRecord returns a record with a request.
func requestRecord(instance uint16, id uint64) []byte {
	return record(uint16(1010), instance, id, uint16(0), 0.0, uint16(0), uint64(0), 1500.0, uint16(0))
}

// mustRun runs the adapter over the frames and returns its replies.
func mustRun(t *testing.T, s *frameScript) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := run(&s.Buffer, &out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// actionSizes are the sizes of the actions that the tests' settings lead to, in bytes by code.
var actionSizes = map[uint16]int{1000: 26, 1010: 20, 1020: 12, 1040: 20, 1100: 5, 1110: 4}

// splitReplies splits replies into a list of actions for each, without the headers.
func splitReplies(t *testing.T, replies []byte) [][][]byte {
	t.Helper()
	var out [][][]byte
	for len(replies) > 0 {
		size := binary.BigEndian.Uint32(replies)
		var actions [][]byte
		for p := replies[4:size]; len(p) > 0; {
			n := actionSizes[binary.BigEndian.Uint16(p)]
			if n == 0 {
				t.Fatalf("unexpected action %d", binary.BigEndian.Uint16(p))
			}
			actions, p = append(actions, p[:n]), p[n:]
		}
		out, replies = append(out, actions), replies[size:]
	}
	return out
}

// requestsSent returns the requests that an instance sends, in order.
func requestsSent(t *testing.T, replies []byte, instance uint16) (ids []uint64) {
	t.Helper()
	for _, actions := range splitReplies(t, replies) {
		for _, action := range actions {
			if binary.BigEndian.Uint16(action) == 1000 && binary.BigEndian.Uint16(action[2:]) == instance {
				ids = append(ids, binary.BigEndian.Uint64(action[4:]))
			}
		}
	}
	return ids
}

// An instance returns the same actions whether it runs alone or with others in one process.
func TestRun_instanceIsolation(t *testing.T) {
	play := func(instances ...uint16) []byte {
		s := &frameScript{}
		var first [][]byte
		for _, i := range instances {
			first = append(first, startRecord(i, uint64(i)*7, settings), tableRecord(5), cachedListRecord(i))
		}
		s.frame(1000, first...)
		for id := range uint64(60) {
			for _, i := range instances {
				s.frame(1001+float64(id), requestRecord(i, id))
			}
		}
		return mustRun(t, s)
	}
	together := play(1, 2, 3)
	for _, i := range []uint16{1, 2, 3} {
		apart := play(i)
		if n, m := len(requestsSent(t, together, i)), len(requestsSent(t, apart, i)); n != 60 || m != 60 {
			t.Fatalf("instance %d sent %d together, %d alone", i, n, m)
		}
		if !bytes.Equal(actionsOf(t, together, i), actionsOf(t, apart, i)) {
			t.Fatalf("instance %d returns other actions alone than together with two others", i)
		}
	}
}

// actionsOf returns the actions of one instance.
func actionsOf(t *testing.T, replies []byte, instance uint16) (out []byte) {
	t.Helper()
	for _, actions := range splitReplies(t, replies) {
		for _, action := range actions {
			if binary.BigEndian.Uint16(action[2:]) == instance {
				out = append(out, action...)
			}
		}
	}
	return out
}

// Invalid settings are reported as a fault of the instance.
func TestRun_invalidSettings(t *testing.T) {
	s := &frameScript{}
	s.frame(1000, startRecord(1, 7, `{"classes": []}`), tableRecord(1), cachedListRecord(1))
	out := mustRun(t, s)
	if len(out) < 8 || binary.BigEndian.Uint16(out[4:]) != 1090 || !strings.Contains(string(out), "no classes") {
		t.Fatalf("reply %q", out)
	}
}

// A record for an unknown instance or an invalid frame ends the adapter with an error.
func TestRun_invalidInput(t *testing.T) {
	notStarted := &frameScript{}
	notStarted.frame(1000, requestRecord(4, 1))
	short := &frameScript{}
	short.frame(math.Inf(1))
	for name, s := range map[string]*frameScript{"instance not started": notStarted, "clock": short} {
		var out bytes.Buffer
		if err := run(&s.Buffer, &out); err == nil || out.Len() > 0 {
			t.Errorf("%s: error %v, %d bytes of reply", name, err, out.Len())
		}
	}
}
