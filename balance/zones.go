package balance

import (
	"fmt"
	"math"
)

// This file says what is made of zones and regions. Three rules, each from what this sidecar's own requests
// met:
//
// Close first. Servers are taken by tier: the own zone, the own region, elsewhere. A near one is passed
// over only if its requests could not be answered within holdAim of the aim, one after another. What the
// near tiers cannot take spills: the part of first sends that begin one tier further moves by small steps
// while near answers take longer than those elsewhere by more than the price is worth, and comes back as
// they get quicker.
//
// Leaving. A server that failed since its zone last answered is a witness against the zone: a whole one
// when its connection never came up, half a one otherwise, as single servers restart and stumble. With two
// (four halves) and another zone that answers meanwhile the zone is left. With a part q of the servers sick
// on their own, two in a row and no answer between them come by chance in q² of cases: 1.6 % with one in
// eight. A zone larger than the rest needs up to twice as many. Where no other zone answers the fault is
// nearer, and none is left.
//
// Returning. After a pause, longer each time and never the same for two sidecars, one request that may be
// repeated tries the zone. Each good answer lets one more be there at a time, until they are as many as the
// servers that get any; a failure begins the next pause.

const (
	maxHeldObjective = 0.33 // part of the aim that a near server's requests may take one after another
	halfPrice        = 0.1  // price of crossing at which half of the spare objective is used before it
	spillPart        = 0.5  // of the step of shedding: both follow the same answers, and one must be slower
	maxSpill         = 0.9  // near answers are needed to see that the near servers can take more again
	tierAnswers      = 20   // answers over which a tier's time is taken
	evidenceToLeave  = 2    // servers against a zone that is left
	partialEvidence  = 0.5  // what counts one whose failure may be its own
	stableObjectives = 20   // longest aims in use after which a zone's pauses begin anew
	tiers            = 3
	full             = 4*tiers + 1 // level of a server that cannot take one more
)

// tier is how far a zone is away. Where crossing costs nothing all are alike.
func (b *Balancer) tier(id int) int {
	switch {
	case b.cfg.Prices.CrossZone == 0 || id == b.cfg.Zone:
		return 0
	case b.cfg.region(id) == b.cfg.region(b.cfg.Zone):
		return 1
	}
	return 2
}

func (b *Balancer) pressure(t int) float64 {
	e := &b.tierLatencies[t]
	return b.quickest + (e.took-b.quickest)*math.Exp2((e.at-b.now)/halfLife)
}

func (b *Balancer) recordTierLatency(t int, took float64) {
	e := &b.tierLatencies[t]
	e.took, e.at = b.pressure(t), b.now
	e.n = math.Min(e.n+1, tierAnswers)
	e.took += (math.Min(took, 2) - e.took) / (e.n + fewAnswers)
}

// startTier is the tier that a first send begins at.
func (b *Balancer) startTier() int {
	var there [tiers]bool
	for _, z := range b.zones {
		if z.ready > 0 && (!z.left || b.now >= z.leftUntil) {
			there[z.tier] = true
		}
	}
	step := math.Max(shedRate, bound((b.now-b.spillAt)/shedTime, 0, shedStep))
	price := b.cfg.Prices.CrossZone
	t := 0
	for ; t+1 < tiers; t++ {
		further := t + 1
		if further+1 < tiers && !there[further] {
			further++
		}
		if !there[t] || !there[further] {
			b.spill[t], b.spilled[t] = 0, 0
			continue
		}
		spare := spareObjective * price / (price + halfPrice) * (1 - b.quickest)
		over := b.pressure(t) - math.Max(b.quickest, b.pressure(further)) - spare
		b.spill[t] = bound(b.spill[t]+spillPart*step*bound(over/spare, -1, 1), 0, maxSpill)
		price *= math.Max(1, b.cfg.RegionCost)
	}
	b.spillAt = b.now
	for t = 0; t+1 < tiers; t++ {
		if b.spilled[t] += b.spill[t]; b.spilled[t] < 1 {
			break
		}
		b.spilled[t]--
	}
	return t
}

// answered takes in a good answer of a zone, and what it says of others.
func (b *Balancer) answered(z *zone, trial bool, took float64) {
	b.recordTierLatency(z.tier, took)
	// It seemed dead as well: what failed meanwhile says nothing of others.
	common := z.evidence >= evidenceToLeave
	z.answer, z.cleared, z.evidence = b.now, b.now, 0
	if z.left && trial {
		if z.admitLimit++; z.admitLimit >= math.Min(float64(z.ready), float64(b.rotationSize())) {
			z.left, z.back = false, b.now
			b.log(fmt.Sprintf("zones: zone %d is in full use again", z.id))
		}
	}
	for _, other := range b.zones {
		if other != z && common {
			other.cleared, other.evidence = b.now, 0
		} else if other != z {
			b.judgeZone(other)
		}
	}
}

// addEvidence takes in that a server failed, as a witness against its zone.
func (b *Balancer) addEvidence(s *server, weight float64) {
	z := s.zone
	if z.left && b.now >= z.leftUntil {
		b.leave(z)
	}
	if s.evidenceAt >= z.cleared {
		return
	}
	if s.evidenceAt = b.now; z.evidence == 0 {
		z.since = b.now
	}
	z.evidence += weight
	b.judgeZone(z)
}

// withdrawEvidence takes back that a server is a witness against its zone.
func (b *Balancer) withdrawEvidence(s *server) {
	if z := s.zone; s.evidenceAt >= z.cleared {
		s.evidenceAt, z.evidence = math.Inf(-1), math.Max(0, z.evidence-1)
	}
}

// judgeZone leaves a zone that has enough against it while another one answers.
func (b *Balancer) judgeZone(z *zone) {
	others, answers := 0, false
	for _, other := range b.zones {
		if other != z && !other.left {
			others += other.ready
			answers = answers || other.ready > 0 && other.answer >= z.since
		}
	}
	need := evidenceToLeave * bound(float64(z.ready)/math.Max(float64(others), 1), 1, 2)
	if !z.left && answers && z.evidence >= need {
		b.log(fmt.Sprintf("zones: zone %d is left: %g witnesses, and others answer", z.id, z.evidence))
		if b.now > z.back+stableObjectives*b.maxObjective {
			z.timesLeft = 0
		}
		b.leave(z)
	}
}

// leave begins a pause of a zone.
func (b *Balancer) leave(z *zone) {
	z.left, z.admitLimit = true, 0
	z.leftUntil = b.now + b.maxObjective*float64(int(1)<<min(z.timesLeft, maxEjections))*(0.75+b.random()/2)
	z.timesLeft++
}

// admits tells whether a request may go to a zone: one that returns is tried by few, and first by those
// that may be repeated.
func (b *Balancer) admits(r *request, z *zone) bool {
	return !z.left || b.now >= z.leftUntil && z.out < math.Max(1, z.admitLimit) && !r.BodyStreaming &&
		(r.class.Idempotency != NonIdempotent || z.admitLimit >= evidenceToLeave)
}

// level orders servers for a first send that begins at a tier: the tiers by how far they are from it, in
// each those within their share before those that can take one more.
func (b *Balancer) level(r *request, s *server, begin int, over bool) int {
	away := 2 * (s.zone.tier - begin)
	if away < 0 {
		away = -away - 1
	}
	switch {
	case !over:
		return 2 * away
	case (b.holds(s)+1)*math.Max(r.stats.mean/r.class.LatencyObjective, b.quickest) <= maxHeldObjective:
		return 2*away + 1
	}
	return full
}

// zone is what this sidecar knows of a zone as a whole.
type zone struct {
	id       int
	tier     int
	ready    int     // servers listed
	answer   float64 // when it last answered
	cleared  float64 // ... or was cleared of what was said against it
	evidence float64 // witnesses since then
	since    float64 // the first of them

	left       bool
	leftUntil  float64
	timesLeft  int
	back       float64 // when it was last in full use again
	admitLimit float64 // requests that may be there at a time while it returns
	out        float64 // ... and are
}

// tierLatency follows how long answers of a tier take, as a part of their aim; what failed took twice it. It
// fades.
type tierLatency struct{ took, n, at float64 }
