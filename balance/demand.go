package balance

import "math"

const (
	maxLatencySamples = 300  // answers over which the mean and deviation of a class are taken
	minSpanFraction   = 0.05 // of a span that a rate is taken over, however short the time since the start
)

// demand counts the requests of this sidecar, by class and by tenant, and follows how long answers of a class
// take.
type demand struct {
	*shared
	classes  []classStats
	tenants  []requestCounts // the last is for requests without a tenant
	arrivals decayingCounter // requests, over twice rotationPeriod
}

func newDemand(s *shared) *demand {
	d := &demand{
		shared:  s,
		classes: make([]classStats, len(s.cfg.Classes)),
		tenants: make([]requestCounts, len(s.cfg.Tenants)+1),
	}
	for i := range d.classes {
		d.classes[i].requestCounts = requestCounts{arrived: 1, served: 1}
		d.classes[i].priorityWeight = s.cfg.Classes[i].PriorityWeight
	}
	for i := range d.tenants {
		d.tenants[i] = requestCounts{arrived: 1, served: 1}
		if i < len(s.cfg.Tenants) {
			d.tenants[i].quota = s.cfg.Tenants[i].Quota
		}
	}
	return d
}

// tenant returns the counts of a tenant.
func (d *demand) tenant(i int) *requestCounts {
	if i < 0 || i >= len(d.cfg.Tenants) {
		i = len(d.cfg.Tenants)
	}
	return &d.tenants[i]
}

// recordArrival counts a request.
func (d *demand) recordArrival(r *request) {
	d.arrivals.add(d.now, 2*rotationPeriod)
	r.stats.arrived++
	r.tenant.arrived++
}

// recordServed counts a request whose answer came within its latency objective.
func (d *demand) recordServed(r *request) {
	r.stats.served++
	r.tenant.served++
}

// rate is the number of requests a millisecond.
func (d *demand) rate() float64 {
	return d.arrivals.rate(d.now, d.started-rotationPeriod, 2*rotationPeriod, 0)
}

// demandSummary is the sum of the demand, and the class and the tenant with the smallest part served.
type demandSummary struct {
	arrived, weight float64
	weakClass       *classStats
	weakTenant      *requestCounts
}

func (d *demand) summarize() demandSummary {
	all := demandSummary{weight: 1e-9, weakClass: &d.classes[0], weakTenant: &d.tenants[0]}
	for c := range d.classes {
		all.arrived += d.classes[c].arrived
		all.weight += d.classes[c].arrived * d.classes[c].priorityWeight
		if d.classes[c].weaker(&all.weakClass.requestCounts) {
			all.weakClass = &d.classes[c]
		}
	}
	for t := range d.tenants {
		if d.tenants[t].weaker(all.weakTenant) {
			all.weakTenant = &d.tenants[t]
		}
	}
	return all
}

// requestCounts counts the requests of a class or tenant, and those answered within the latency objective.
// Both start at 1, so that they can be divided by.
type requestCounts struct{ arrived, served, quota float64 }

// weaker reports whether a smaller part of the requests was served than of the other's.
func (c *requestCounts) weaker(other *requestCounts) bool {
	return c.served*other.arrived < other.served*c.arrived
}

// classStats counts the requests of a class and follows the latency of its answers in ms.
type classStats struct {
	requestCounts
	samples        float64 // answers that mean and deviation are taken over
	mean           milliseconds
	deviation      milliseconds // mean absolute deviation
	priorityWeight float64
}

// add takes in the latency of an answer: a running mean of the first maxLatencySamples answers, an
// exponentially weighted one from then on.
func (c *classStats) add(latency milliseconds) {
	c.samples = math.Min(c.samples+1, maxLatencySamples)
	c.mean += (latency - c.mean) / c.samples
	c.deviation += (math.Abs(latency-c.mean) - c.deviation) / c.samples
}

// decayingCounter counts events, each with a weight that decays exponentially with its age.
type decayingCounter struct {
	sum float64 // of the weights at the time at
	at  milliseconds
}

func (c *decayingCounter) add(now, span milliseconds) { c.addPart(now, span, 1) }

// addPart counts part of an event. The weight of an event falls to 1/e within span.
func (c *decayingCounter) addPart(now, span milliseconds, part float64) {
	c.sum, c.at = c.sum*math.Exp((c.at-now)/span)+part, now
}

// rate is the number of events a millisecond since start, with so many assumed beside those counted.
func (c *decayingCounter) rate(now, start, span milliseconds, assumed float64) float64 {
	observed := math.Max(-math.Expm1((start-now)/span), minSpanFraction)
	return (c.sum*math.Exp((c.at-now)/span)/observed + assumed) / span
}
