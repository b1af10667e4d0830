package balance

// This file decides which requests are admitted, and sheds load that the fleet cannot answer in time.

import "math"

const (
	spareObjective     = 0.25 // part of the aim beyond the quickest answers that queues may take
	initialLatency     = 0.33 // held to be the quickest until answers tell
	meanWindow         = 50   // answers or reports over which a mean is taken
	shedNow            = 1.5  // part of the load to shed at once, per aim that answers take too long
	shedRate           = 0.04 // ... and lastingly, more for each request
	shedTime           = 1500 // ms after which it is all, per aim
	shedStep           = 0.34 // ... but no more for one request
	shedTolerance      = 0.1  // of the lasting part is not shed: small sidecars gather it by chance
	maxShed            = 0.95 // never all: answers are needed to see that the load is gone
	rateSpanObjectives = 8    // span of the rate of answers, in longest aims
	minSpanFraction    = 0.05 // of a span that a rate is taken over, however short the time since the start
	fewAnswers         = 3    // assumed beside the recent answers, and over which the load is averaged
	fairBound          = 2    // a tenant counts as at most this far under its share
	shedValueBand      = 1.25 // values within this factor are shed alike
)

// admit sheds load that the fleet cannot answer within the aims. What is in flight over the rate of answers
// tells how long answers take (Little's law), sooner than they do. What is shed lastingly moves with each
// request, of small sidecars by time: they took seconds to shed when servers were lost.
func (b *Balancer) admit(r *request) bool {
	parted := b.abandonedRate()
	rate := b.answerRate(fewAnswers) + parted
	b.trackInFlight(0, rate)
	// As a part of the aim; those assumed are quick.
	b.estimatedLatency = b.meanInFlightLoad/rate + b.quickest*(1-(b.answerRate(0)+parted)/rate)
	full := b.quickest + spareObjective*(1-b.quickest) // the work itself and a part of the rest
	over := math.Min(b.estimatedLatency, 2) - full
	step := math.Max(shedRate, bound((b.now-b.admitAt)/shedTime, 0, shedStep))
	b.admitAt = b.now
	b.lastingShed = bound(b.lastingShed+step*over, 0, maxShed+shedTolerance)
	lasting := b.lastingShed - shedTolerance
	shed := bound(lasting+shedNow*over, 0, math.Min(maxShed, 2*lasting))
	return shed == 0 || b.random() >= b.shedPart(r, shed)
}

// trackInFlight follows what is in flight, each attempt as one over its aim and for no longer than that: what
// hangs is no overload. The mean is over the time of a few answers: a small sidecar's few crowd by chance.
func (b *Balancer) trackInFlight(more, rate float64) {
	passed := -math.Expm1((b.inFlightLoadAt - b.now) * rate / fewAnswers)
	b.meanInFlightLoad += (b.inFlightLoad - b.meanInFlightLoad) * passed
	b.inFlightLoad, b.inFlightLoadAt = b.inFlightLoad+more, b.now
}

// answerRate is the rate of answers, some assumed; or that surely seen over the last aim: traffic may grow
// fast.
func (b *Balancer) answerRate(assumed float64) float64 {
	long := b.answers.rate(b.now, b.started, rateSpanObjectives*b.maxObjective, assumed)
	n := b.latest.rate(b.now, b.now-1e9, b.maxObjective, 0) * b.maxObjective
	return math.Max(long, (n-2*math.Sqrt(n))/b.maxObjective)
}

// shedPart spreads the load to shed over classes and tenants, those first whose answers add least to the
// goal for their work; the worst-served weigh on their own. Of a tenant counts what is in its share.
func (b *Balancer) shedPart(r *request, shed float64) float64 {
	all, goal := b.summarizeDemand(), b.cfg.Goal
	value := func(class *classStats, tenant *requestCounts) float64 {
		v := (goal.Overall + goal.WorstWindow) * class.priorityWeight / all.weight
		if class == all.weakClass {
			v += goal.WorstClass / class.arrived
		}
		if tenant.quota > 0 {
			over := b.cfg.OverQuotaWeight
			v *= over + (1-over)*math.Min(tenant.quota*all.arrived/tenant.arrived, fairBound)
		}
		if tenant == all.weakTenant {
			v += goal.WorstTenant * class.priorityWeight / all.weight * all.arrived / tenant.arrived
		}
		return v / math.Max(class.mean, 1e-3)
	}
	total, below, like, own := 0.0, 0.0, 1e-3, value(r.stats, r.tenant)
	for c := range b.classes {
		for t := range b.tenants {
			work := b.classes[c].arrived * b.classes[c].mean * b.tenants[t].arrived
			total += work
			if v := value(&b.classes[c], &b.tenants[t]); v*shedValueBand < own {
				below += work
			} else if v < own*shedValueBand {
				like += work
			}
		}
	}
	return (shed*total - below) / like
}

// weaker: a smaller part of what it asked for was served in time.
func (t *requestCounts) weaker(than *requestCounts) bool {
	return t.served*than.arrived < than.served*t.arrived
}

// demandSummary is what all requests of this sidecar ask for, and who is served the least part of it.
type demandSummary struct {
	arrived, weight float64
	weakClass       *classStats
	weakTenant      *requestCounts
}

func (b *Balancer) summarizeDemand() demandSummary {
	all := demandSummary{weight: 1e-9, weakClass: &b.classes[0], weakTenant: &b.tenants[0]}
	for c := range b.classes {
		all.arrived += b.classes[c].arrived
		all.weight += b.classes[c].arrived * b.classes[c].priorityWeight
		if b.classes[c].weaker(&all.weakClass.requestCounts) {
			all.weakClass = &b.classes[c]
		}
	}
	for t := range b.tenants {
		if b.tenants[t].weaker(all.weakTenant) {
			all.weakTenant = &b.tenants[t]
		}
	}
	return all
}

// recordAbandoned takes in the time that an attempt had until its client left, as the part of an answer that
// it is by the estimate: neither its time nor its missing answer moves that.
func (b *Balancer) recordAbandoned(r *request, a *attempt) {
	if !a.outOfLoad && !a.endsAtObjective {
		had := (b.now - a.sent) / (r.class.LatencyObjective * math.Max(b.estimatedLatency, b.quickest))
		b.abandoned.addPart(b.now, rateSpanObjectives*b.maxObjective, math.Min(had, 1))
	}
}

func (b *Balancer) abandonedRate() float64 {
	return b.abandoned.rate(b.now, b.started, rateSpanObjectives*b.maxObjective, 0)
}

// recordLatency follows how long answers take, as a part of their aim, and the least it has been.
func (b *Balancer) recordLatency(took float64) {
	b.slowN = math.Min(b.slowN+1, meanWindow)
	b.slowness += (math.Min(took, 2) - b.slowness) / b.slowN
	if b.slowN == meanWindow {
		b.quickest = math.Min(b.quickest, b.slowness)
	}
}

func (b *Balancer) stopCountingLoad(r *request, a *attempt) {
	if !a.outOfLoad {
		a.outOfLoad = true
		b.trackInFlight(-1/r.class.LatencyObjective, b.answerRate(fewAnswers))
	}
}
