package upstream

import (
	"math"
	"sync"
	"time"
)

const (
	// ageBuckets is the number of buckets by idle time: two for each doubling from 1 ms on. The last one starts beyond
	// an hour.
	ageBuckets = 48
	// ageDecayTime is the time constant of the exponential decay of the counts: the network may change.
	ageDecayTime = 30 * time.Second
	// minLikelihoodGain is how much better two loss rates must explain the counts than a single one, as a
	// log-likelihood ratio.
	minLikelihoodGain = 6.0
	// minLossRatio is how many times higher the loss rate of the older connections must be than that of the younger
	// ones.
	minLossRatio = 3
)

// idleAges learns how long a connection may stay idle. A device on the network path may drop an idle connection sooner
// than its server closes it, without notifying either side. A request written to the connection then fails with a
// reset, and counts as one that may have run.
//
// It counts requests and lost connections by the idle time of the connection, as exponentially decayed sums. The bound
// is the idle time at which a model with two loss rates (one below the bound, one from there on) has the highest
// likelihood, provided that it exceeds the likelihood of a single rate by minLikelihoodGain.
type idleAges struct {
	mu               sync.Mutex          // guards the fields below
	requests, losses [ageBuckets]float64 // counts by bucket of idle time; bucket 0 also counts new connections
	decayedAt        time.Time           // when the counts were last decayed
	learnedBound     time.Duration       // idle time from which on connections are lost far more often; 0 if there is none
}

// ageBucket returns the bucket of an idle time. A negative time counts as that of a new connection.
func ageBucket(idle time.Duration) int {
	if idle <= 0 {
		return 0
	}
	return int(min(max(2*math.Log2(float64(idle)/float64(time.Millisecond))+1, 0), ageBuckets-1))
}

// bucketStart returns the shortest idle time of a bucket above 0.
func bucketStart(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket-1)/2) * float64(time.Millisecond))
}

// record counts a request on a connection that had been idle for a time, 0 for a new connection, and whether the
// connection was lost.
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

// decay reduces the counts by the decay since the last call. The caller holds the lock.
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

// estimateBound returns the idle time from which on connections are lost far more often. It returns 0 if there is
// none, as when connections are lost at any idle time. The caller holds the lock.
func (a *idleAges) estimateBound() time.Duration {
	var requests, losses float64
	for i := range a.requests {
		requests += a.requests[i]
		losses += a.losses[i]
	}
	single := logLikelihood(requests, losses)
	maxGain, bound := minLikelihoodGain, 0
	var requestsBelow, lossesBelow float64
	for i := 1; i < ageBuckets; i++ {
		requestsBelow += a.requests[i-1]
		lossesBelow += a.losses[i-1]
		requestsFrom, lossesFrom := requests-requestsBelow, losses-lossesBelow
		if lossesFrom*(requestsBelow+1) < minLossRatio*(lossesBelow+1)*requestsFrom {
			continue
		}
		if gain := logLikelihood(requestsBelow, lossesBelow) + logLikelihood(requestsFrom, lossesFrom) - single; gain > maxGain {
			maxGain, bound = gain, i
		}
	}
	if bound == 0 {
		return 0
	}
	return bucketStart(bound)
}

// logLikelihood returns the log-likelihood of the given number of losses among the given number of requests, at their
// own loss rate.
func logLikelihood(requests, losses float64) float64 {
	survived := requests - losses
	if losses <= 0 || survived <= 0 {
		return 0
	}
	return losses*math.Log(losses/requests) + survived*math.Log(survived/requests)
}

// bound returns the given idle time, limited to the learned bound.
func (a *idleAges) bound(idle time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.learnedBound > 0 {
		return min(idle, a.learnedBound)
	}
	return idle
}
