package balance

import "math"

const (
	classLatencyWindow = 300 // responses over which the mean and deviation of a class are averaged
	// Least fraction of a span over which a rate is computed, even just after the start.
	minSpanFraction = 0.05
)

// demand counts the requests of this sidecar by class and by tenant, and tracks the latency of each
// class.
type demand struct {
	*shared
	classes  []classStats
	tenants  []requestCounts // the last entry counts requests without a tenant
	arrivals decayingCounter // requests, over a span of twice rotationPeriod
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

// tenant returns the counts of a tenant. Tenants that the settings do not name share the last entry.
func (d *demand) tenant(i int) *requestCounts {
	if i < 0 || i >= len(d.cfg.Tenants) {
		i = len(d.cfg.Tenants)
	}
	return &d.tenants[i]
}

// recordArrival counts a request that has arrived.
func (d *demand) recordArrival(r *request) {
	d.arrivals.add(d.now, 2*rotationPeriod)
	r.stats.arrived++
	r.tenant.arrived++
}

// recordServed counts a request whose response came within its latency objective.
func (d *demand) recordServed(r *request) {
	r.stats.served++
	r.tenant.served++
}

// rate returns the number of requests per ms.
func (d *demand) rate() float64 {
	return d.arrivals.rate(d.now, d.started-rotationPeriod, 2*rotationPeriod, 0)
}

// demandSummary holds the total demand, and the class and the tenant with the lowest fraction of requests
// served.
type demandSummary struct {
	arrived, weight   float64 // weight: sum of the priority weights of all requests
	worstServedClass  *classStats
	worstServedTenant *requestCounts
}

// summarize computes the summary of all classes and tenants.
func (d *demand) summarize() demandSummary {
	all := demandSummary{weight: 1e-9, worstServedClass: &d.classes[0], worstServedTenant: &d.tenants[0]}
	for c := range d.classes {
		all.arrived += d.classes[c].arrived
		all.weight += d.classes[c].arrived * d.classes[c].priorityWeight
		if d.classes[c].servedWorse(&all.worstServedClass.requestCounts) {
			all.worstServedClass = &d.classes[c]
		}
	}
	for t := range d.tenants {
		if d.tenants[t].servedWorse(all.worstServedTenant) {
			all.worstServedTenant = &d.tenants[t]
		}
	}
	return all
}

// requestCounts counts the requests of a class or tenant that arrived, and those that were served within
// the latency objective. Both counts start at 1 to avoid divisions by 0. quota is a tenant's fraction of
// the service.
type requestCounts struct{ arrived, served, quota float64 }

// servedWorse reports whether the fraction of requests served is smaller than the other's.
func (c *requestCounts) servedWorse(other *requestCounts) bool {
	return c.served*other.arrived < other.served*c.arrived
}

// classStats counts the requests of a class and tracks the latency of its responses in ms.
type classStats struct {
	requestCounts
	samples        float64 // responses over which mean and deviation are averaged
	mean           milliseconds
	deviation      milliseconds // mean absolute deviation
	priorityWeight float64
}

// addLatency records the latency of a response. The mean is arithmetic over the first classLatencyWindow
// responses, and exponentially weighted from then on.
func (c *classStats) addLatency(latency milliseconds) {
	c.samples = math.Min(c.samples+1, classLatencyWindow)
	c.mean += (latency - c.mean) / c.samples
	c.deviation += (math.Abs(latency-c.mean) - c.deviation) / c.samples
}

// decayingCounter counts events. The weight of each event decays exponentially with its age.
type decayingCounter struct {
	sum       float64 // sum of the weights at updatedAt
	updatedAt milliseconds
}

// add counts an event with weight 1.
func (c *decayingCounter) add(now, span milliseconds) { c.addWeighted(now, span, 1) }

// addWeighted counts an event with an initial weight, which falls to 1/e within span.
func (c *decayingCounter) addWeighted(now, span milliseconds, weight float64) {
	c.sum, c.updatedAt = c.sum*math.Exp((c.updatedAt-now)/span)+weight, now
}

// rate returns the number of events per ms since start. assumed is a number of events within span that
// are added to those counted.
func (c *decayingCounter) rate(now, start, span milliseconds, assumed float64) float64 {
	observed := math.Max(-math.Expm1((start-now)/span), minSpanFraction)
	return (c.sum*math.Exp((c.updatedAt-now)/span)/observed + assumed) / span
}
