package balance

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A larger process count takes effect at once. With a smaller one the estimate halves in 10 s, but does not change
// while half or more of the processes are silent. A process that is not admitted has no quota.
func TestFleetEstimate_growthAndDecay(t *testing.T) {
	var c FleetEstimate
	all := func(n int) FleetSize { return FleetSize{Known: n, Reachable: n, Admitted: true} }
	assert.Equal(t, 1.0/10, c.Quota(1000, all(10)))
	assert.Equal(t, 1.0/40, c.Quota(1000, all(40)), "a larger count takes effect at once")
	assert.InDelta(t, 2.0/40, c.Quota(11000, all(10)), 1e-12, "a smaller count halves the estimate in 10 s")
	silent := FleetSize{Known: 10, Reachable: 5, Admitted: true}
	assert.InDelta(t, 2.0/40, c.Quota(21000, silent), 1e-12, "no change while half are silent")
	assert.InDelta(t, 4.0/40, c.Quota(31000, FleetSize{Known: 10, Reachable: 6, Admitted: true}), 1e-12)
	assert.Zero(t, c.Quota(31000, FleetSize{Known: 10, Reachable: 10}), "a process that is not admitted has no quota")
	for _, none := range []int{0, -3} {
		assert.Equal(t, 1.0, c.Quota(1e9, FleetSize{Known: none, Reachable: 1, Admitted: true}), "at most the quota of a single process")
	}
}

// The quota is positive and at most 1 divided by the number of known processes. It grows at most as fast as the
// estimate may decay, and does not grow while half or more of the processes are silent. A clock that is set back
// temporarily does not increase it.
func TestFleetEstimate_property(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c FleetEstimate
		now, last := rapid.Float64Range(0, 1e7).Draw(t, "now"), 0.0
		for i := range rapid.IntRange(1, 30).Draw(t, "updates") {
			passed := rapid.Float64Range(-60000, 60000).Draw(t, "passed")
			now += passed
			s := FleetSize{Known: rapid.IntRange(-1, 3000).Draw(t, "known"), Admitted: true}
			s.Reachable = rapid.IntRange(0, max(0, s.Known)).Draw(t, "reachable")
			quota := c.Quota(now, s)
			require.Positive(t, quota)
			require.LessOrEqual(t, quota, 1/math.Max(1, float64(s.Known)))
			if i > 0 {
				require.LessOrEqual(t, quota, last*math.Exp2(math.Max(passed, 0)/1e4)*(1+1e-9))
			}
			if i > 0 && 2*s.Reachable <= s.Known {
				require.LessOrEqual(t, quota, last)
			}
			last = quota
		}
		assert.Equal(t, 0.5, c.Quota(now+1e7, FleetSize{Known: 2, Reachable: 2, Admitted: true}))
	})
}

// The quotas of all processes add up to at most 1 if each process knows at least all admitted ones, however late it
// learns that others have ended. A process that is admitted too early exceeds the limit, which shows that the check
// can fail.
func TestFleetEstimate_quotasSumToOne(t *testing.T) {
	maxSumTooEarly := 0.0
	rapid.Check(t, func(t *rapid.T) {
		type process struct {
			FleetEstimate
			quota float64
			ended int // ended processes that this one still counts
		}
		var all []*process
		now := 0.0
		update := func(p *process, admitted bool) {
			known := len(all) + p.ended
			p.quota = p.Quota(now, FleetSize{Known: known, Reachable: rapid.IntRange(1, known).Draw(t, "reachable"), Admitted: admitted})
		}
		sum := func(start float64) float64 {
			for _, p := range all {
				start += p.quota
			}
			return start
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.Float64Range(0, 20000).Draw(t, "passed")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // a process starts: all others count it before it is admitted
				started := &process{}
				if len(all) > 0 {
					maxSumTooEarly = math.Max(maxSumTooEarly, sum(1/float64(len(all))))
				}
				all = append(all, started)
				for _, p := range all {
					update(p, p != started)
				}
				require.Zero(t, started.quota)
				update(started, true)
			case 1: // a process ends, and the others still count it
				if len(all) > 1 {
					all = all[:len(all)-1]
					for _, p := range all {
						p.ended++
					}
				}
			default:
				for _, p := range all {
					p.ended = rapid.IntRange(0, p.ended).Draw(t, "extra")
					update(p, true)
				}
			}
			require.LessOrEqual(t, sum(0), 1+1e-9)
		}
	})
	assert.Greater(t, maxSumTooEarly, 1.0)
}

// A reported process count equal to Config.Peers changes no action; another count does.
func TestFleetEstimate_equalToSettings(t *testing.T) {
	differed := false
	rapid.Check(t, func(t *rapid.T) {
		cfg := baseConfig()
		cfg.Peers, cfg.Seed = rapid.IntRange(1, 3000).Draw(t, "peers"), rapid.Uint64().Draw(t, "seed")
		var balancers [3]*Balancer // without a report, with the count in the settings, with a tenth of that
		for i := range balancers {
			b, err := New(cfg)
			require.NoError(t, err)
			balancers[i] = b
		}
		now, next := 1000.0, RequestID(0)
		attempts := map[RequestID]int{}
		var inFlight []Action
		do := func(ev Event) {
			var actions [3][]Action
			for i, b := range balancers {
				got, err := b.Handle(now, ev)
				if i < 2 {
					require.NoError(t, err)
				}
				actions[i] = append([]Action{}, got...)
			}
			require.Empty(t, cmp.Diff(actions[0], actions[1]), "%#v", ev)
			differed = differed || cmp.Diff(actions[0], actions[2]) != ""
			for _, a := range actions[0] {
				if a.Kind == Send {
					a.Attempt = attempts[a.Request]
					attempts[a.Request]++
					inFlight = append(inFlight, a)
				}
			}
		}
		servers := identicalServers(rapid.IntRange(2, 12).Draw(t, "servers"))
		for i := range servers {
			if rapid.Bool().Draw(t, "starting") {
				servers[i].StartedAt = now
			}
		}
		for _, b := range balancers {
			b.Start(now)
		}
		do(ServerList{Kind: ListFull, Servers: servers})
		for range rapid.IntRange(1, 150).Draw(t, "events") {
			now += rapid.Float64Range(0, 300).Draw(t, "passed")
			for i, known := range []int{0, cfg.Peers, max(1, cfg.Peers/10)} {
				if i > 0 {
					_, err := balancers[i].Handle(now, FleetSize{Known: known, Reachable: known, Admitted: true})
					require.NoError(t, err)
				}
			}
			require.InDelta(t, balancers[0].slowStart.assumedResponses, balancers[1].slowStart.assumedResponses, 1e-12)
			if len(inFlight) == 0 || rapid.Bool().Draw(t, "request") {
				next++
				do(Request{ID: next, Class: rapid.IntRange(0, 4).Draw(t, "class"), Remaining: 1500})
				continue
			}
			a := inFlight[0]
			inFlight = inFlight[1:]
			res := rapid.SampledFrom([]Result{OK, OK, OK, Failed, ConnectFailed}).Draw(t, "result")
			do(Outcome{Request: a.Request, Attempt: a.Attempt, Server: a.Server, Result: res, Elapsed: 20, Finished: res == OK})
		}
	})
	assert.True(t, differed, "a tenth of the count never changed an action")
}
