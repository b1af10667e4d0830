package upstream

import (
	"math"
	"sync"
	"time"
)

const (
	// ageBuckets is the number of counts by idle time: two to a doubling from 1 ms on, the last one beyond an hour.
	ageBuckets = 48
	// ageDecayTime is the time constant of the counts: the network may change.
	ageDecayTime = 30 * time.Second
	// minLikelihoodGain is by how much two loss rates must explain the counts better than one, as a log-likelihood ratio.
	minLikelihoodGain = 6.0
	// minLossRatio is how many times more often the older connections must be lost than the younger ones.
	minLossRatio = 3
)

// idleAges learns how long a connection may be idle. Something on the way may forget a connection sooner than its server
// closes it, without a sign: a request written to it then ends as a reset, after which it may have run.
//
// It counts requests and losses by the idle time of their connection, as exponentially decayed sums. The bound is the idle
// time at which a model with two loss rates (below and from there on) has the highest likelihood, if that is enough more
// than the likelihood of a single rate.
type idleAges struct {
	mu         sync.Mutex          // guards all
	requests, losses [ageBuckets]float64 // requests and losses by idle time; 0: new connections
	decayedAt  time.Time           // when these last decayed
	learnedBound    time.Duration       // the bound; 0: there is none
}

// ageBucket returns the index of an idle time; a negative one counts as that of a new connection.
func ageBucket(idle time.Duration) int {
	if idle <= 0 {
		return 0
	}
	return int(min(max(2*math.Log2(float64(idle)/float64(time.Millisecond))+1, 0), ageBuckets-1))
}

// bucketStart is the least idle time of a bucket above 0.
func bucketStart(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket-1)/2) * float64(time.Millisecond))
}

// record counts a request on a connection that was idle for a time, 0 for a new one, and whether the connection was lost.
func (a *idleAges) record(now time.Time, idle time.Duration, lost bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decay(now)
	bucket := ageBucket(idle)
	a.requests[bucket]++
	if lost {
		a.losses[bucket]++
	}
	if lost || a.learnedBound > 0 {
		a.learnedBound = a.estimateBound()
	}
}

// decay takes from the counts what is due since the last time; the caller holds the lock.
func (a *idleAges) decay(now time.Time) {
	factor := 1.0
	if !a.decayedAt.IsZero() {
		factor = math.Exp(-float64(now.Sub(a.decayedAt)) / float64(ageDecayTime))
	}
	a.decayedAt = now
	for i := range a.requests {
		a.requests[i] *= factor
		a.losses[i] *= factor
	}
}

// estimateBound returns the idle time from which on connections are lost far more often, or 0: some are lost at any idle time. The
// caller holds the lock.
func (a *idleAges) estimateBound() time.Duration {
	var used, lost float64
	for i := range a.requests {
		used += a.requests[i]
		lost += a.losses[i]
	}
	single := logLikelihood(used, lost)
	maxGain, bound := minLikelihoodGain, 0
	var usedBelow, lostBelow float64
	for i := 1; i < ageBuckets; i++ {
		usedBelow += a.requests[i-1]
		lostBelow += a.losses[i-1]
		usedFrom, lostFrom := used-usedBelow, lost-lostBelow
		if lostFrom*(usedBelow+1) < minLossRatio*(lostBelow+1)*usedFrom {
			continue
		}
		if gain := logLikelihood(usedBelow, lostBelow) + logLikelihood(usedFrom, lostFrom) - single; gain > maxGain {
			maxGain, bound = gain, i
		}
	}
	if bound == 0 {
		return 0
	}
	return bucketStart(bound)
}

// logLikelihood is the log-likelihood of so many losses among so many requests, at their own loss rate.
func logLikelihood(used, lost float64) float64 {
	survived := used - lost
	if lost <= 0 || survived <= 0 {
		return 0
	}
	return lost*math.Log(lost/used) + survived*math.Log(survived/used)
}

// bound returns the shorter of an idle time and the learned bound.
func (a *idleAges) bound(idle time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.learnedBound > 0 {
		return min(idle, a.learnedBound)
	}
	return idle
}
