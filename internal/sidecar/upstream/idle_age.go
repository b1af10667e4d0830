package upstream

import (
	"math"
	"sync"
	"time"
)

const (
	ageSteps  = 48               // two to a doubling from 1 ms on: beyond an hour
	ageSpan   = 30 * time.Second // in which what was seen fades: the network may change
	ageProof  = 6.0              // log-likelihood by which two rates of loss must explain more than one
	ageFactor = 3                // and times by which the older connections must be lost more often
)

// idleAges learns how long a connection may be idle. Something on the way may forget one sooner than its
// server closes it and say nothing: then a request written to it ends as a reset, which may have run.
type idleAges struct {
	mu         sync.Mutex
	used, lost [ageSteps]float64 // by the time that a connection was idle; 0: new ones
	at         time.Time         // when these were last made to fade
	bound      time.Duration     // 0: none seen
}

func ageStep(idle time.Duration) int {
	if idle <= 0 { // of a negative time there is no logarithm, and no index
		return 0
	}
	return int(min(max(2*math.Log2(float64(idle)/float64(time.Millisecond))+1, 0), ageSteps-1))
}

// note takes in how a request fared on a connection that was idle for that long; 0: a new one.
func (a *idleAges) note(now time.Time, idle time.Duration, lost bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fade := 1.0
	if !a.at.IsZero() {
		fade = math.Exp(-float64(now.Sub(a.at)) / float64(ageSpan))
	}
	a.at = now
	for i := range a.used {
		a.used[i] *= fade
		a.lost[i] *= fade
	}
	i := ageStep(idle)
	a.used[i]++
	if lost {
		a.lost[i]++
	}
	if lost || a.bound > 0 {
		a.bound = a.find()
	}
}

// find looks for the age from which on connections are lost far more often: there are losses at any age.
func (a *idleAges) find() time.Duration {
	var used, lost float64
	for i := range a.used {
		used += a.used[i]
		lost += a.lost[i]
	}
	whole := logLikelihood(used, lost)
	best, from := ageProof, 0
	var usedBelow, lostBelow float64
	for i := 1; i < ageSteps; i++ {
		usedBelow += a.used[i-1]
		lostBelow += a.lost[i-1]
		usedFrom, lostFrom := used-usedBelow, lost-lostBelow
		if lostFrom*(usedBelow+1) < ageFactor*(lostBelow+1)*usedFrom {
			continue
		}
		if gain := logLikelihood(usedBelow, lostBelow) + logLikelihood(usedFrom, lostFrom) - whole; gain > best {
			best, from = gain, i
		}
	}
	if from == 0 {
		return 0
	}
	return time.Duration(math.Exp2(float64(from-1)/2) * float64(time.Millisecond))
}

// logLikelihood of losses at their own rate.
func logLikelihood(used, lost float64) float64 {
	kept := used - lost
	if lost <= 0 || kept <= 0 {
		return 0
	}
	return lost*math.Log(lost/used) + kept*math.Log(kept/used)
}

// within is the shorter of a time and what was learned.
func (a *idleAges) within(idle time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bound > 0 {
		return min(idle, a.bound)
	}
	return idle
}
