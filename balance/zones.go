package balance

// This file decides which zones and regions get requests, based on the outcomes of this sidecar's own
// requests. There are three rules.
//
// Nearest first. Servers are used by tier: own zone, own region, elsewhere. A near server whose load is
// over its share is passed over only if its requests, served one after another, would take more than
// maxNearQueueFraction of the latency objective. Load that the near tiers cannot take spills over: the
// fraction of first attempts that start one tier further changes in small steps. It grows while responses
// from the near tier take longer than those from further tiers by more than the price of crossing
// justifies, and falls when they become faster.
//
// Suspending a zone. A server that has failed since its zone last responded is evidence against the zone:
// full evidence if its connection was not established in time, partial evidence otherwise, as single
// servers restart and fail now and then. A zone with evidence of evidenceToSuspend is suspended if
// another zone has responded meanwhile. If a fraction q of the servers is faulty independently of the
// zone, two consecutive failures without a response in between occur by chance in q² of cases: 1.6 % for
// one server in eight. A zone larger than the rest needs up to twice the evidence. If no other zone
// responds, the fault is near this sidecar, and no zone is suspended.
//
// Resuming a zone. After a randomised pause, which is longer after each suspension, one request that may
// be repeated is sent to the zone as a trial. Each successful response admits one more request at a time,
// up to the number of servers in the rotation. A failure starts the next pause.

import (
	"fmt"
	"math"
)

const (
	// Fraction of the objective that the queued requests of a near server may take.
	maxNearQueueFraction = 0.33
	// Price of crossing at which responses may be slower by half of the spare objective before requests
	// cross.
	halfPrice = 0.1
	// The spill moves by this fraction of the step of load shedding. Both react to the same latencies, so
	// one must be slower.
	spillStepFraction = 0.5
	// Upper limit of the spill. Some near responses are needed to detect that near servers have capacity
	// again.
	maxSpill          = 0.9
	tierLatencyWindow = 20 // responses over which the latency of a tier is averaged
	evidenceToSuspend = 2  // evidence against a zone at which it is suspended
	fullEvidence      = 1
	partialEvidence   = 0.5

	responsesToTrust = 2 // successful responses of a zone on trial before it gets non-idempotent requests
	// A zone in full use for this many longest objectives starts again with short pauses.
	stableObjectives = 20
	tiers            = 3           // own zone, own region, elsewhere
	fullLevel        = 4*tiers + 1 // level of a server that cannot take another request
)

// locality decides to which zones and tiers requests may go.
type locality struct {
	*shared
	admission *admission
	demand    *demand

	zones          []*zone // all zones, in the order in which they were first listed
	tierLatencies  [tiers]tierLatency
	spill          [tiers]float64 // fraction of first attempts that start beyond each tier
	spillCredit    [tiers]float64 // attempts that are due to start beyond each tier; at 1 the next one does
	spillUpdatedAt milliseconds   // when spill was last updated
}

// zone is the state of a zone as seen by this sidecar.
type zone struct {
	id                int
	tier              int
	ready             int          // servers listed as ready
	lastResponseAt    milliseconds // when the zone last responded
	evidenceClearedAt milliseconds // when the evidence against it was last cleared
	evidence          float64      // sum of the weights of the failures since then
	evidenceSince     milliseconds // time of the first of these failures

	suspended              bool         // set during the pause and the trial after it
	suspendedUntil         milliseconds // end of the pause
	consecutiveSuspensions int
	trialEndedAt           milliseconds // when the last trial succeeded and the zone was in full use again
	trialLimit             float64      // requests that may be in flight at the same time during a trial
	trialsInFlight         float64      // requests of the trial in flight
}

// paused reports whether the zone gets no requests at all.
func (z *zone) paused(now milliseconds) bool { return z.suspended && now < z.suspendedUntil }

// onTrial reports whether the zone gets a limited number of requests after a pause.
func (z *zone) onTrial(now milliseconds) bool { return z.suspended && now >= z.suspendedUntil }

// tierLatency is the mean latency of a tier's responses as a multiple of the objective. Failures count as
// maxLatency.
type tierLatency struct {
	mean      float64
	samples   float64 // responses over which mean is averaged
	updatedAt milliseconds
}

// zone returns the state of a zone, which is created if necessary.
func (l *locality) zone(id int) *zone {
	for _, z := range l.zones {
		if z.id == id {
			return z
		}
	}
	z := &zone{id: id, tier: l.tier(id), trialEndedAt: math.Inf(-1)}
	l.zones = append(l.zones, z)
	return z
}

// tier returns the distance of a zone. If crossing zones costs nothing, all zones are in tier 0.
func (l *locality) tier(id int) int {
	switch {
	case l.cfg.Prices.CrossZone == 0 || id == l.cfg.Zone:
		return 0
	case l.cfg.region(id) == l.cfg.region(l.cfg.Zone):
		return 1
	}
	return 2
}

// latency returns the mean latency of a tier. Without further responses it decays to the minimum latency.
func (l *locality) latency(tier int) float64 {
	t := &l.tierLatencies[tier]
	lowest := l.admission.minMeanLatency
	return lowest + (t.mean-lowest)*math.Exp2((t.updatedAt-l.now)/halfLife)
}

// recordLatency records the latency of a response from a tier.
func (l *locality) recordLatency(tier int, latency float64) {
	t := &l.tierLatencies[tier]
	t.mean, t.updatedAt = l.latency(tier), l.now
	t.samples = math.Min(t.samples+1, tierLatencyWindow)
	t.mean += (math.Min(latency, maxLatency) - t.mean) / (t.samples + priorResponses)
}

// startTier updates the spill of all tiers, and returns the tier at which a first attempt starts.
func (l *locality) startTier() int {
	usable := l.usableTiers()
	step := l.controllerStep(l.spillUpdatedAt)
	price := l.cfg.Prices.CrossZone
	for t := 0; t+1 < tiers; t++ {
		further := t + 1
		if further+1 < tiers && !usable[further] {
			further++
		}
		if !usable[t] || !usable[further] {
			l.spill[t], l.spillCredit[t] = 0, 0
			continue
		}
		l.adjustSpill(t, further, step, price)
		price *= math.Max(1, l.cfg.RegionCost)
	}
	l.spillUpdatedAt = l.now
	return l.nextStartTier()
}

// usableTiers reports which tiers have a ready server in a zone that is not paused.
func (l *locality) usableTiers() [tiers]bool {
	var usable [tiers]bool
	for _, z := range l.zones {
		if z.ready > 0 && !z.paused(l.now) {
			usable[z.tier] = true
		}
	}
	return usable
}

// adjustSpill updates the spill of a tier by the excess of its latency over that of a further tier. The
// price of crossing zones justifies that near responses are slower by a part of the spare objective.
func (l *locality) adjustSpill(t, further int, step, price float64) {
	spare := spareObjective * price / (price + halfPrice) * (1 - l.admission.minMeanLatency)
	excess := l.latency(t) - math.Max(l.admission.minMeanLatency, l.latency(further)) - spare
	l.spill[t] = bound(l.spill[t]+spillStepFraction*step*bound(excess/spare, -1, 1), 0, maxSpill)
}

// nextStartTier adds the spill of each tier to its credit. It returns the first tier whose credit is
// below 1; each tier before it is passed over and its credit falls by 1.
func (l *locality) nextStartTier() int {
	t := 0
	for ; t+1 < tiers; t++ {
		if l.spillCredit[t] += l.spill[t]; l.spillCredit[t] < 1 {
			break
		}
		l.spillCredit[t]--
	}
	return t
}

// recordResponse records a successful response of a zone, and reassesses the other zones.
func (l *locality) recordResponse(z *zone, trial bool, latency float64) {
	l.recordLatency(z.tier, latency)
	// If this zone seemed to have failed, too, the failures in the other zones since then had a common
	// cause.
	commonCause := z.evidence >= evidenceToSuspend
	z.lastResponseAt, z.evidenceClearedAt, z.evidence = l.now, l.now, 0
	if z.suspended && trial {
		l.admitMore(z)
	}
	for _, other := range l.zones {
		if other != z && commonCause {
			other.evidenceClearedAt, other.evidence = l.now, 0
		} else if other != z {
			l.suspendOnEvidence(other)
		}
	}
}

// admitMore raises the number of requests that a zone on trial may have in flight. The trial ends when
// this number reaches that of the servers in the rotation.
func (l *locality) admitMore(z *zone) {
	z.trialLimit++
	if z.trialLimit >= math.Min(float64(z.ready), float64(rotationSize(l.demand.rate()))) {
		z.suspended, z.trialEndedAt = false, l.now
		l.log(fmt.Sprintf("zones: zone %d resumed", z.id))
	}
}

// addEvidence counts the failure of a server as evidence against its zone. A server counts once until its
// zone responds.
func (l *locality) addEvidence(s *server, weight float64) {
	z := s.zone
	if z.onTrial(l.now) {
		l.suspend(z)
	}
	if s.evidenceAt >= z.evidenceClearedAt {
		return
	}
	s.evidenceAt = l.now
	if z.evidence == 0 {
		z.evidenceSince = l.now
	}
	z.evidence += weight
	l.suspendOnEvidence(z)
}

// withdrawEvidence removes the full evidence of a server against its zone.
func (l *locality) withdrawEvidence(s *server) {
	if z := s.zone; s.evidenceAt >= z.evidenceClearedAt {
		s.evidenceAt, z.evidence = math.Inf(-1), math.Max(0, z.evidence-fullEvidence)
	}
}

// suspendOnEvidence suspends a zone if there is enough evidence against it and another zone has responded
// since the first of its failures.
func (l *locality) suspendOnEvidence(z *zone) {
	otherServers, otherResponds := 0, false
	for _, other := range l.zones {
		if other != z && !other.suspended {
			otherServers += other.ready
			otherResponds = otherResponds || other.ready > 0 && other.lastResponseAt >= z.evidenceSince
		}
	}
	needed := evidenceToSuspend * bound(float64(z.ready)/math.Max(float64(otherServers), 1), 1, 2)
	if z.suspended || !otherResponds || z.evidence < needed {
		return
	}
	l.log(fmt.Sprintf("zones: zone %d suspended: failure evidence %g, other zones respond", z.id, z.evidence))
	if l.now > z.trialEndedAt+stableObjectives*l.maxObjective {
		z.consecutiveSuspensions = 0
	}
	l.suspend(z)
}

// suspend starts a pause of a zone. Jitter makes the pause up to a quarter shorter or longer.
func (l *locality) suspend(z *zone) {
	z.suspended, z.trialLimit = true, 0
	factor := float64(int(1) << min(z.consecutiveSuspensions, maxPauseDoublings))
	jitter := 0.75 + l.random()/2
	z.suspendedUntil = l.now + l.maxObjective*factor*jitter
	z.consecutiveSuspensions++
}

// admits reports whether a request may be sent to a zone. A zone on trial gets few requests, and at first
// only requests that may be repeated.
func (l *locality) admits(r *request, z *zone) bool {
	switch {
	case !z.suspended:
		return true
	case z.paused(l.now) || z.trialsInFlight >= math.Max(1, z.trialLimit) || r.BodyStreaming:
		return false
	}
	return r.class.Idempotency != NonIdempotent || z.trialLimit >= responsesToTrust
}

// level returns the level of a server for a first attempt that starts at the tier firstTier; the lowest
// level is preferred. Tiers are ordered by their distance from the first tier. Within a tier, servers
// within their share of the load precede those above it that can take another request. inFlight is the
// load of the server.
func (l *locality) level(r *request, s *server, firstTier int, overLimit bool, inFlight float64) int {
	distance := 2 * (s.zone.tier - firstTier)
	if distance < 0 {
		distance = -distance - 1
	}
	if !overLimit {
		return 2 * distance
	}
	latency := math.Max(r.stats.mean/r.class.LatencyObjective, l.admission.minMeanLatency)
	if (inFlight+1)*latency <= maxNearQueueFraction {
		return 2*distance + 1
	}
	return fullLevel
}
