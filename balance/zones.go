package balance

// This file decides which zones and regions get requests. It has three rules, each from what this sidecar's
// own requests met.
//
// Nearest first. Servers are taken by tier: the own zone, the own region, elsewhere. A near server is passed
// over only if its requests, one after another, would take more than maxHeldObjective of the objective. What
// the near tiers cannot take spills over: the part of first attempts that begin one tier further moves by
// small steps. It grows while near answers take longer than those elsewhere by more than the price of
// crossing allows for, and falls as they get quicker.
//
// Leaving a zone. A server that failed since its zone last answered is evidence against the zone: full
// evidence if its connection never came up, partial evidence otherwise, as single servers restart and fail
// now and then. With evidence of evidenceToLeave, and another zone that answers meanwhile, the zone is left.
// If a part q of the servers is faulty on its own, two failures in a row without an answer between them come
// by chance in q² of cases: 1.6 % for one in eight. A zone larger than the rest needs up to twice the
// evidence. Where no other zone answers, the fault is nearer, and no zone is left.
//
// Returning. After a pause, longer each time and randomised, one request that may be repeated goes to the
// zone. Each good answer admits one more at a time, until they are as many as the servers in the rotation. A
// failure begins the next pause.

import (
	"fmt"
	"math"
)

const (
	maxHeldObjective = 0.33 // part of the objective that a near server's requests may take one after another
	halfPrice        = 0.1  // price of crossing at which half of the spare objective is used before it
	spillStepPart    = 0.5  // of the step of shedding: both follow the same answers, and one must be slower
	maxSpill         = 0.9  // some near answers are needed to see that the near servers can take more again
	tierSamples      = 20   // answers over which a tier's latency is taken
	evidenceToLeave  = 2    // evidence against a zone at which it is left
	fullEvidence     = 1
	partialEvidence  = 0.5

	answersToTrust   = 2           // good answers of a zone on trial before it gets non-idempotent requests
	stableObjectives = 20          // longest objectives in use after which the pauses of a zone start again
	tiers            = 3           // own zone, own region, elsewhere
	fullLevel        = 4*tiers + 1 // level of a server that cannot take one more request
)

// locality decides which zones and tiers requests may go to.
type locality struct {
	*shared
	admission *admission
	demand    *demand

	zones         []*zone // in the order in which they were first listed
	tierLatencies [tiers]tierLatency
	spill         [tiers]float64 // part of first attempts that begin beyond each tier
	spillDue      [tiers]float64 // attempts that are due to begin beyond it
	spillAt       milliseconds   // when spill was last moved
}

// zone is what this sidecar knows of a zone as a whole.
type zone struct {
	id            int
	tier          int
	ready         int          // servers listed as ready
	answeredAt    milliseconds // when it last answered
	clearedAt     milliseconds // when the evidence against it was last dropped
	evidence      float64      // since then
	evidenceSince milliseconds // the first of it

	left       bool         // it gets nothing, or is being tried again
	leftUntil  milliseconds // end of the pause
	timesLeft  int          // in a row
	returnedAt milliseconds // when it was last in full use again
	admitLimit float64      // requests in flight at a time while it is being tried
	trials     float64      // such requests in flight
}

// paused reports whether the zone gets no requests at all.
func (z *zone) paused(now milliseconds) bool { return z.left && now < z.leftUntil }

// onTrial reports whether the zone gets a few requests after a pause.
func (z *zone) onTrial(now milliseconds) bool { return z.left && now >= z.leftUntil }

// tierLatency is the mean latency of a tier's answers, as a multiple of the objective. Failures count as
// maxLatency.
type tierLatency struct {
	mean    float64
	samples float64 // answers that mean is taken over
	at      milliseconds
}

// zone returns what is known of a zone.
func (l *locality) zone(id int) *zone {
	for _, z := range l.zones {
		if z.id == id {
			return z
		}
	}
	z := &zone{id: id, tier: l.tier(id), returnedAt: math.Inf(-1)}
	l.zones = append(l.zones, z)
	return z
}

// tier is how far a zone is away. Where crossing costs nothing all zones are alike.
func (l *locality) tier(id int) int {
	switch {
	case l.cfg.Prices.CrossZone == 0 || id == l.cfg.Zone:
		return 0
	case l.cfg.region(id) == l.cfg.region(l.cfg.Zone):
		return 1
	}
	return 2
}

// latency is the mean latency of a tier. Without answers it decays to the minimum of all.
func (l *locality) latency(tier int) float64 {
	t := &l.tierLatencies[tier]
	return l.admission.minMeanLatency + (t.mean-l.admission.minMeanLatency)*math.Exp2((t.at-l.now)/halfLife)
}

// recordLatency records the latency of an answer of a tier.
func (l *locality) recordLatency(tier int, latency float64) {
	t := &l.tierLatencies[tier]
	t.mean, t.at = l.latency(tier), l.now
	t.samples = math.Min(t.samples+1, tierSamples)
	t.mean += (math.Min(latency, maxLatency) - t.mean) / (t.samples + priorAnswers)
}

// startTier moves the spill of all tiers and returns the tier that a first attempt begins at.
func (l *locality) startTier() int {
	usable := l.usableTiers()
	step := l.controllerStep(l.spillAt)
	price := l.cfg.Prices.CrossZone
	for t := 0; t+1 < tiers; t++ {
		further := t + 1
		if further+1 < tiers && !usable[further] {
			further++
		}
		if !usable[t] || !usable[further] {
			l.spill[t], l.spillDue[t] = 0, 0
			continue
		}
		l.adjustSpill(t, further, step, price)
		price *= math.Max(1, l.cfg.RegionCost)
	}
	l.spillAt = l.now
	return l.takeSpill()
}

// usableTiers reports which tiers have a ready server in a zone that is in use.
func (l *locality) usableTiers() [tiers]bool {
	var usable [tiers]bool
	for _, z := range l.zones {
		if z.ready > 0 && !z.paused(l.now) {
			usable[z.tier] = true
		}
	}
	return usable
}

// adjustSpill moves the spill of a tier by the latency that it has above that of a further tier. The price of
// crossing allows for part of the spare objective.
func (l *locality) adjustSpill(t, further int, step, price float64) {
	spare := spareObjective * price / (price + halfPrice) * (1 - l.admission.minMeanLatency)
	excess := l.latency(t) - math.Max(l.admission.minMeanLatency, l.latency(further)) - spare
	l.spill[t] = bound(l.spill[t]+spillStepPart*step*bound(excess/spare, -1, 1), 0, maxSpill)
}

// takeSpill returns the first tier that is not due to be passed over.
func (l *locality) takeSpill() int {
	t := 0
	for ; t+1 < tiers; t++ {
		if l.spillDue[t] += l.spill[t]; l.spillDue[t] < 1 {
			break
		}
		l.spillDue[t]--
	}
	return t
}

// recordAnswer records a good answer of a zone, and judges the other zones by it.
func (l *locality) recordAnswer(z *zone, trial bool, latency float64) {
	l.recordLatency(z.tier, latency)
	// If this zone seemed to have failed, too, the failures in other zones meanwhile had a common cause.
	commonCause := z.evidence >= evidenceToLeave
	z.answeredAt, z.clearedAt, z.evidence = l.now, l.now, 0
	if z.left && trial {
		l.admitMore(z)
	}
	for _, other := range l.zones {
		if other != z && commonCause {
			other.clearedAt, other.evidence = l.now, 0
		} else if other != z {
			l.judge(other)
		}
	}
}

// admitMore raises the number of requests to a zone that is being tried. It ends the trial once they are as
// many as the servers in the rotation.
func (l *locality) admitMore(z *zone) {
	z.admitLimit++
	if z.admitLimit >= math.Min(float64(z.ready), float64(rotationSize(l.demand.rate()))) {
		z.left, z.returnedAt = false, l.now
		l.log(fmt.Sprintf("zones: zone %d is in full use again", z.id))
	}
}

// addEvidence counts the failure of a server as evidence against its zone.
func (l *locality) addEvidence(s *server, weight float64) {
	z := s.zone
	if z.onTrial(l.now) {
		l.leave(z)
	}
	if s.evidenceAt >= z.clearedAt {
		return
	}
	s.evidenceAt = l.now
	if z.evidence == 0 {
		z.evidenceSince = l.now
	}
	z.evidence += weight
	l.judge(z)
}

// withdrawEvidence takes back the full evidence of a server against its zone.
func (l *locality) withdrawEvidence(s *server) {
	if z := s.zone; s.evidenceAt >= z.clearedAt {
		s.evidenceAt, z.evidence = math.Inf(-1), math.Max(0, z.evidence-fullEvidence)
	}
}

// judge leaves a zone with enough evidence against it, if another one has answered since the first of it.
func (l *locality) judge(z *zone) {
	otherServers, otherAnswers := 0, false
	for _, other := range l.zones {
		if other != z && !other.left {
			otherServers += other.ready
			otherAnswers = otherAnswers || other.ready > 0 && other.answeredAt >= z.evidenceSince
		}
	}
	needed := evidenceToLeave * bound(float64(z.ready)/math.Max(float64(otherServers), 1), 1, 2)
	if z.left || !otherAnswers || z.evidence < needed {
		return
	}
	l.log(fmt.Sprintf("zones: zone %d is left: evidence %g, and other zones answer", z.id, z.evidence))
	if l.now > z.returnedAt+stableObjectives*l.maxObjective {
		z.timesLeft = 0
	}
	l.leave(z)
}

// leave begins a pause of a zone. Jitter makes it up to a quarter shorter or longer.
func (l *locality) leave(z *zone) {
	z.left, z.admitLimit = true, 0
	longer := float64(int(1) << min(z.timesLeft, maxPauseDoublings))
	jitter := 0.75 + l.random()/2
	z.leftUntil = l.now + l.maxObjective*longer*jitter
	z.timesLeft++
}

// admits reports whether a request may go to a zone. One that is being tried gets few requests, and at first
// only those that may be repeated.
func (l *locality) admits(r *request, z *zone) bool {
	switch {
	case !z.left:
		return true
	case z.paused(l.now) || z.trials >= math.Max(1, z.admitLimit) || r.BodyStreaming:
		return false
	}
	return r.class.Idempotency != NonIdempotent || z.admitLimit >= answersToTrust
}

// level orders servers for a first attempt that begins at a tier: the lowest level goes first. Tiers are
// ordered by how far they are from the first one, and in each the servers within their share of the load come
// before those that can take one more request. inFlight is what the server holds.
func (l *locality) level(r *request, s *server, firstTier int, overLimit bool, inFlight float64) int {
	distance := 2 * (s.zone.tier - firstTier)
	if distance < 0 {
		distance = -distance - 1
	}
	if !overLimit {
		return 2 * distance
	}
	latency := math.Max(r.stats.mean/r.class.LatencyObjective, l.admission.minMeanLatency)
	if (inFlight+1)*latency <= maxHeldObjective {
		return 2*distance + 1
	}
	return fullLevel
}
