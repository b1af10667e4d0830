package invariant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"marblelane/internal/lab/record"
)

// status is the status report of a process, 10 ms after its request. The process belongs to the sidecar or replica of
// the same number.
func status(at int, serial uint64, estimate float64, admitted bool) record.Event {
	return record.Event{T: millis(at), Kind: record.MembershipStatus, Sidecar: int32(serial), Sum: serial, Want: uint64(10 * time.Millisecond),
		N: int64(serial), Work: estimate, Canary: admitted, Server: 2}
}

func forced(e record.Event) record.Event {
	e.Class = 1
	return e
}

func memberStatus(at int, by uint64, note string, start int64) record.Event {
	return record.Event{T: millis(at), Kind: record.MemberStatus, Sidecar: int32(by), Sum: by, N: start, Note: note}
}

// Each rule of membership detects its breach, and reports none for similar events without a breach.
func TestCheckMembers_rules(t *testing.T) {
	half := func(at int, serial uint64) record.Event { return status(at, serial, 2, true) }
	leaves := record.Event{T: millis(150), Kind: record.MemberProcess, Sidecar: record.None, Sum: 1, Note: MemberLeaves}
	three := func(third record.Event, later record.Event) []record.Event {
		return []record.Event{half(100, 0), half(100, 1), third, half(200, 0), half(200, 1), later}
	}
	old := status(100, 7, 2, true)
	old.Sidecar = 1
	later := old
	later.T = millis(200)
	ofList := status(100, 3, 2, true)
	left := func(at int, serial uint64) record.Event {
		e := half(at, serial)
		e.Note = MemberLeft
		return e
	}
	sends := record.Event{T: millis(300), Kind: record.FirstByte, Sidecar: 2, Request: 5}
	serves := record.Event{T: millis(290), Kind: record.MemberProcess, Sidecar: 2, Sum: 9, Note: MemberServes}
	for name, c := range map[string]struct {
		events []record.Event
		broken string // empty: none
	}{
		"two halves":                                 {[]record.Event{half(100, 0), half(100, 1), half(200, 0), half(200, 1)}, ""},
		"three halves":                               {three(half(105, 2), half(205, 2)), QuotaSum},
		"the third is not admitted":                  {three(status(105, 2, 2, false), status(205, 2, 2, false)), ""},
		"it is admitted meanwhile":                   {three(status(105, 2, 2, false), status(205, 2, 2, true)), ""},
		"its estimate grows meanwhile":               {three(status(105, 2, 2, true), status(205, 2, 1e9, true)), ""},
		"it has no estimate yet":                     {three(status(105, 2, 0, true), status(205, 2, 0, true)), QuotaSum},
		"admitted by timeout":                        {[]record.Event{status(100, 0, 2, true), forced(status(100, 1, 1.3, true)), status(200, 0, 2, true), forced(status(200, 1, 1.3, true))}, ""},
		"admitted by timeout, above its quota":       {[]record.Event{status(100, 0, 1, true), forced(status(100, 1, 1, true)), status(200, 0, 1, true), forced(status(200, 1, 1, true))}, QuotaSum},
		"it has left":                                {three(left(105, 2), left(205, 2)), ""},
		"it sends after it has left":                 {append(three(left(105, 2), left(205, 2)), sends), QuotaSum},
		"the next process sends":                     {append(three(left(105, 2), left(205, 2)), serves, sends), ""},
		"a second process of a sidecar":              {three(old, later), ""},
		"a replica of the list service":              {append([]record.Event{ofList}, half(100, 0), half(100, 1), half(200, 0), half(200, 1)), ""},
		"during a false refusal":                     {[]record.Event{half(1100, 0), half(1100, 1), half(1100, 2), half(1200, 0), half(1200, 1), half(1200, 2)}, ""},
		"gone after its last report":                 {[]record.Event{half(100, 1), memberStatus(95, 0, "gone n1 refused", 1)}, ""},
		"reported as gone, and alive":                {[]record.Event{half(100, 1), memberStatus(150, 0, "gone n1 refused", 1), half(200, 1)}, NotGone},
		"reported as gone before a response arrives": {[]record.Event{half(100, 1), memberStatus(195, 0, "gone n1 refused", 1), half(200, 1)}, ""},
		"reported as silent only":                    {[]record.Event{half(100, 1), memberStatus(150, 0, "silent n1", 1), half(200, 1)}, ""},
		"another start":                              {[]record.Event{half(100, 1), memberStatus(150, 0, "gone n1 replaced", 0), half(200, 1)}, ""},
		"reported as gone after SIGTERM":             {[]record.Event{half(100, 1), leaves, memberStatus(150, 0, "gone n1 left", 1), half(200, 1)}, ""},
		"gone by a false refusal":                    {[]record.Event{half(1100, 1), memberStatus(1150, 0, "gone n1 refused", 1), half(1200, 1)}, ""},
		"an unknown process":                         {[]record.Event{memberStatus(150, 0, "gone n9 left", 9)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			v := &Verdict{Counts: map[string]int{}, Checked: map[string]int{}}
			CheckMembers(c.events, &Members{Names: []string{"n0", "n1", "n2", "r0"}, Sidecars: 3, Peers: 2,
				FalseRefusals: []Span{{millis(1000), millis(2000)}}}, v)
			if c.broken == "" {
				assert.Empty(t, v.Counts, "%+v", v.Breaches)
				return
			}
			assert.Equal(t, []string{c.broken}, v.Broken())
			assert.NotZero(t, v.Checked[c.broken])
		})
	}
}

// Sidecars without membership take their quota all the time.
func TestQuotaMoments_withoutMembership(t *testing.T) {
	events := []record.Event{status(100, 0, 2, true), status(200, 0, 2, true)}
	for without, want := range map[int]float64{0: 0.5, 1: 1, 2: 1.5} {
		highest := 0.0
		for _, moment := range QuotaMoments(events, &Members{Names: []string{"n0"}, Sidecars: 1, Peers: 2, WithoutMembership: without}) {
			highest = max(highest, moment.Sum)
		}
		assert.InDelta(t, want, highest, 1e-9)
	}
}
