package balance

import "math"

// Fractions of load refer to the load that the fleet can answer in time. Latencies are multiples of the
// latency objective.
const (
	spareObjective    = 0.25 // fraction of the span from minimum latency to objective that queueing may use
	initialLatency    = 0.33 // minimum latency until enough responses were measured
	meanWindow        = 50   // responses or load reports over which a mean is averaged
	maxLatency        = 2    // upper limit of latencies that are recorded
	proportionalGain  = 1.5  // fraction of the load that is shed at once, per unit of excess latency
	minControllerStep = 0.04 // least factor by which the excess of a request is added to sustainedShed
	maxControllerStep = 0.34 // greatest such factor, for requests that are far apart
	// Part of sustainedShed that sheds no load, as latencies of few requests vary by chance.
	shedTolerance      = 0.1
	maxShed            = 0.95 // upper limit; some responses are needed to detect that the load has fallen
	rateSpanObjectives = 8    // span of the response rate, in longest latency objectives
	priorResponses     = 3    // responses assumed beside those observed; the mean load spans as many
	maxQuotaCredit     = 2    // greatest factor by which requests of a tenant under its quota count more
	shedValueBand      = 1.25 // requests whose values differ by less than this factor are shed alike
)

const (
	// Integration time: sustainedShed grows by the excess times the elapsed fraction of it.
	integralTime milliseconds = 1500
	idleTime     milliseconds = 60_000 // time without requests after which the load estimates are out of date
	longAgo      milliseconds = 1e9    // age of a start that lies outside the span of any rate
	// Lower limit of the mean latency of a class by which its value is divided.
	minWork milliseconds = 1e-3
)

// admission decides which requests are admitted. It estimates the latency of responses by Little's law,
// from the load in flight and the response rate, and sheds load that the fleet cannot answer within the
// latency objectives.
type admission struct {
	*shared
	demand *demand

	lastRequestAt milliseconds
	sustainedShed float64 // integral term: fraction of load to shed that accumulates while latencies are high

	// Latencies as multiples of the objective.
	meanLatency      float64 // mean latency of recent responses
	latencySamples   float64 // responses over which meanLatency is averaged
	minMeanLatency   float64 // smallest meanLatency so far
	estimatedLatency float64 // latency estimated by Little's law

	responses       decayingCounter // responses, over a span of rateSpanObjectives objectives
	recentResponses decayingCounter // responses, over a span of one objective
	// Attempts whose clients disconnected, each counted by the fraction that was done.
	abandoned decayingCounter

	inFlightLoad     float64 // sum of 1 / objective over the attempts in flight
	meanInFlightLoad float64 // exponentially weighted mean of inFlightLoad
	// When inFlightLoad and its mean were last updated.
	inFlightLoadAt milliseconds
}

func newAdmission(s *shared, demand *demand) *admission {
	return &admission{shared: s, demand: demand, minMeanLatency: initialLatency}
}

// admit reports whether a request is admitted.
//
// By Little's law, latency = load in flight / response rate. The excess is the estimated latency minus a
// target, which lies between the minimum latency and the objective. A proportional-integral controller
// determines the fraction of load to shed. The proportional term follows the present excess, and the
// integral term, sustainedShed, accumulates all excesses. The fraction is at most twice the integral
// term, so that a short peak is not treated as an overload.
func (l *admission) admit(r *request) bool {
	abandoned := l.abandonedRate()
	rate := l.responseRate(priorResponses) + abandoned
	l.addLoad(0, rate)
	// Assumed responses are taken to have the minimum latency.
	assumedFraction := 1 - (l.responseRate(0)+abandoned)/rate
	l.estimatedLatency = l.meanInFlightLoad/rate + l.minMeanLatency*assumedFraction
	target := l.minMeanLatency + spareObjective*(1-l.minMeanLatency)
	excess := math.Min(l.estimatedLatency, maxLatency) - target
	step := l.controllerStep(l.lastRequestAt)
	l.sustainedShed = bound(l.sustainedShed+step*excess, 0, maxShed+shedTolerance)
	l.lastRequestAt = l.now
	sustained := l.sustainedShed - shedTolerance
	shed := bound(sustained+proportionalGain*excess, 0, math.Min(maxShed, 2*sustained))
	return shed == 0 || l.random() >= l.rejectChance(r, shed)
}

// controllerStep returns the factor by which an integral controller multiplies a new excess. last is the
// time of its previous step.
func (s *shared) controllerStep(last milliseconds) float64 {
	return math.Max(minControllerStep, bound((s.now-last)/integralTime, 0, maxControllerStep))
}

// overloaded reports whether there is a sustained overload, for which load is shed.
func (l *admission) overloaded() bool { return l.sustainedShed > shedTolerance }

// idle reports whether the last request was so long ago that the load estimates are out of date.
func (l *admission) idle() bool {
	return l.now-l.lastRequestAt > math.Max(idleTime, rateSpanObjectives*l.maxObjective)
}

// resetShedding ends load shedding after an idle period.
func (l *admission) resetShedding() { l.sustainedShed = 0 }

// startLoad adds an attempt to the load in flight.
func (l *admission) startLoad(r *request, a *attempt) {
	a.inLoad = true
	l.addLoad(1/r.class.LatencyObjective, l.responseRate(priorResponses))
}

// endLoad removes an attempt from the load in flight, if it is still counted.
func (l *admission) endLoad(r *request, a *attempt) {
	if a.inLoad {
		a.inLoad = false
		l.addLoad(-1/r.class.LatencyObjective, l.responseRate(priorResponses))
	}
}

// addLoad updates the mean load for the time since the last change, and then changes the load in flight.
// The mean is exponentially weighted over the time that priorResponses responses take at the given rate.
func (l *admission) addLoad(change, rate float64) {
	weight := -math.Expm1((l.inFlightLoadAt - l.now) * rate / priorResponses)
	l.meanInFlightLoad += (l.inFlightLoad - l.meanInFlightLoad) * weight
	l.inFlightLoad, l.inFlightLoadAt = l.inFlightLoad+change, l.now
}

// responseRate returns the number of responses per ms, with a number of assumed responses added. If the
// rate over the last objective is higher even after two standard deviations are subtracted, it counts
// instead: traffic may grow fast.
func (l *admission) responseRate(assumed float64) float64 {
	long := l.responses.rate(l.now, l.started, rateSpanObjectives*l.maxObjective, assumed)
	recent := l.recentResponses.rate(l.now, l.now-longAgo, l.maxObjective, 0) * l.maxObjective
	return math.Max(long, (recent-2*math.Sqrt(recent))/l.maxObjective)
}

// rejectChance distributes the fraction of load to shed over classes and tenants, and returns the
// probability that the request is rejected. At 0 or less, no request of its value is rejected; at 1 or
// more, all of them are.
//
// The value of a class and tenant is what a response contributes to Config.Goal per ms of work. All load
// of lower values is shed first, then the load of about the same value.
func (l *admission) rejectChance(r *request, shed float64) float64 {
	all := l.demand.summarize()
	totalWork, lowerValueWork, similarValueWork, ownValue := 0.0, 0.0, 1e-3, l.value(&all, r.stats, r.tenant)
	for c := range l.demand.classes {
		for t := range l.demand.tenants {
			class, tenant := &l.demand.classes[c], &l.demand.tenants[t]
			work := class.arrived * class.mean * tenant.arrived
			totalWork += work
			if value := l.value(&all, class, tenant); value*shedValueBand < ownValue {
				lowerValueWork += work
			} else if value < ownValue*shedValueBand {
				similarValueWork += work
			}
		}
	}
	return (shed*totalWork - lowerValueWork) / similarValueWork
}

// value returns what a response to a request of the class and tenant contributes to Config.Goal, per ms
// of work. Demand of a tenant above its quota counts less. The class and the tenant that are served worst
// also contribute through their own terms of the goal.
func (l *admission) value(all *demandSummary, class *classStats, tenant *requestCounts) float64 {
	goal := &l.cfg.Goal
	v := (goal.Overall + goal.WorstWindow) * class.priorityWeight / all.weight
	if class == all.worstServedClass {
		v += goal.WorstClass / class.arrived
	}
	if tenant.quota > 0 {
		overQuotaWeight := l.cfg.OverQuotaWeight
		withinQuota := math.Min(tenant.quota*all.arrived/tenant.arrived, maxQuotaCredit)
		v *= overQuotaWeight + (1-overQuotaWeight)*withinQuota
	}
	if tenant == all.worstServedTenant {
		v += goal.WorstTenant * class.priorityWeight / all.weight * all.arrived / tenant.arrived
	}
	return v / math.Max(class.mean, minWork)
}

// recordResponse records a successful response and its latency, a multiple of the objective.
func (l *admission) recordResponse(latency float64) {
	l.responses.add(l.now, rateSpanObjectives*l.maxObjective)
	l.recentResponses.add(l.now, l.maxObjective)
	l.latencySamples = math.Min(l.latencySamples+1, meanWindow)
	l.meanLatency += (math.Min(latency, maxLatency) - l.meanLatency) / l.latencySamples
	if l.latencySamples == meanWindow {
		l.minMeanLatency = math.Min(l.minMeanLatency, l.meanLatency)
	}
}

// recordAbandoned counts an attempt whose client disconnected as the fraction of a response that was
// probably done by then, according to the estimated latency. Thus neither its load nor its missing
// response distorts the estimate.
func (l *admission) recordAbandoned(r *request, a *attempt) {
	if a.inLoad && !a.endsAtObjective {
		expected := r.class.LatencyObjective * math.Max(l.estimatedLatency, l.minMeanLatency)
		fraction := (l.now - a.sentAt) / expected
		l.abandoned.addWeighted(l.now, rateSpanObjectives*l.maxObjective, math.Min(fraction, 1))
	}
}

// abandonedRate returns the rate of abandoned attempts per ms, in whole responses.
func (l *admission) abandonedRate() float64 {
	return l.abandoned.rate(l.now, l.started, rateSpanObjectives*l.maxObjective, 0)
}
