package balance

import "math"

// Fractions of load are of what the fleet can answer in time. Latencies are multiples of the latency
// objective.
const (
	spareObjective     = 0.25 // part of the objective beyond the minimum latency that queues may take
	initialLatency     = 0.33 // minimum latency until there are enough answers
	meanWindow         = 50   // answers or load reports over which a mean is taken
	maxLatency         = 2    // later answers count as this late
	shedPerExcess      = 1.5  // part of the load shed at once, per excess latency
	shedRate           = 0.04 // growth of the lasting part per excess latency, with each request ...
	shedStep           = 0.34 // ... and its bound, for requests that are far apart
	shedTolerance      = 0.1  // of the lasting part that is not shed: chance fluctuations of few requests
	maxShed            = 0.95 // some answers are needed to see that the load has gone
	rateSpanObjectives = 8    // span of the rate of answers, in longest objectives
	priorAnswers       = 3    // answers assumed beside the recent ones, and over which the load is averaged
	maxQuotaCredit     = 2    // factor by which a tenant counts as under its quota at most
	shedValueBand      = 1.25 // requests whose values differ by less than this factor are shed alike
)

const (
	shedTime milliseconds = 1500   // between two requests after which lastingShed moves by the whole excess
	idleTime milliseconds = 60_000 // without a request, after which what is known of the load is out of date
	longAgo  milliseconds = 1e9    // start of a rate whose span has passed
	minWork  milliseconds = 1e-3   // least mean latency of a class that its value is divided by
)

// admission decides which requests are admitted. It estimates by Little's law how long answers will take,
// from the load in flight and the rate of answers, and sheds load that the fleet cannot answer within the
// objectives.
type admission struct {
	*shared
	demand *demand

	lastRequestAt milliseconds
	lastingShed   float64 // part of the load that is shed for as long as latencies stay high

	// Latencies as multiples of the objective.
	meanLatency      float64 // of recent answers
	latencySamples   float64 // answers that meanLatency is taken over
	minMeanLatency   float64 // smallest meanLatency so far
	estimatedLatency float64 // by Little's law

	answers       decayingCounter // answers within rateSpanObjectives objectives
	recentAnswers decayingCounter // answers within the last objective
	abandoned     decayingCounter // parts of answers whose clients left

	inFlightLoad     float64 // sum over the attempts in flight of 1 / objective
	meanInFlightLoad float64 // exponentially weighted mean of it
	inFlightLoadAt   milliseconds
}

func newAdmission(s *shared, demand *demand) *admission {
	return &admission{shared: s, demand: demand, minMeanLatency: initialLatency}
}

// admit reports whether a request is admitted.
//
// Little's law: latency = load in flight / rate of answers. The excess is what the estimated latency has
// above a target between the minimum latency and the objective. Part of the load is shed at once, by the
// present excess, and part lastingly, by the sum of all excesses; this is an integral controller.
func (l *admission) admit(r *request) bool {
	abandoned := l.abandonedRate()
	rate := l.answerRate(priorAnswers) + abandoned
	l.addLoad(0, rate)
	// Assumed answers count with the minimum latency.
	assumed := 1 - (l.answerRate(0)+abandoned)/rate
	l.estimatedLatency = l.meanInFlightLoad/rate + l.minMeanLatency*assumed
	target := l.minMeanLatency + spareObjective*(1-l.minMeanLatency)
	excess := math.Min(l.estimatedLatency, maxLatency) - target
	l.lastingShed = bound(l.lastingShed+l.controllerStep(l.lastRequestAt)*excess, 0, maxShed+shedTolerance)
	l.lastRequestAt = l.now
	lasting := l.lastingShed - shedTolerance
	shed := bound(lasting+shedPerExcess*excess, 0, math.Min(maxShed, 2*lasting))
	return shed == 0 || l.random() >= l.rejectChance(r, shed)
}

// controllerStep is the weight of a new excess in an integral controller whose last step was at the time
// last.
func (s *shared) controllerStep(last milliseconds) float64 {
	return math.Max(shedRate, bound((s.now-last)/shedTime, 0, shedStep))
}

// overloaded reports whether load is shed lastingly.
func (l *admission) overloaded() bool { return l.lastingShed > shedTolerance }

// idle reports whether the last request is so long ago that what is known of the load is out of date.
func (l *admission) idle() bool {
	return l.now-l.lastRequestAt > math.Max(idleTime, rateSpanObjectives*l.maxObjective)
}

// forgetLoad ends shedding after an idle time.
func (l *admission) forgetLoad() { l.lastingShed = 0 }

// startLoad counts an attempt in the load from now on.
func (l *admission) startLoad(r *request, a *attempt) {
	a.inLoad = true
	l.addLoad(1/r.class.LatencyObjective, l.answerRate(priorAnswers))
}

// endLoad takes an attempt off the load, if it is still counted.
func (l *admission) endLoad(r *request, a *attempt) {
	if a.inLoad {
		a.inLoad = false
		l.addLoad(-1/r.class.LatencyObjective, l.answerRate(priorAnswers))
	}
}

// addLoad changes the load in flight and moves its mean on to now. The mean is exponentially weighted over
// the time of priorAnswers answers at the given rate.
func (l *admission) addLoad(change, rate float64) {
	weight := -math.Expm1((l.inFlightLoadAt - l.now) * rate / priorAnswers)
	l.meanInFlightLoad += (l.inFlightLoad - l.meanInFlightLoad) * weight
	l.inFlightLoad, l.inFlightLoadAt = l.inFlightLoad+change, l.now
}

// answerRate is the number of answers a millisecond, with so many assumed. A rate over the last objective
// that is higher by two standard deviations counts instead: traffic may grow fast.
func (l *admission) answerRate(assumed float64) float64 {
	long := l.answers.rate(l.now, l.started, rateSpanObjectives*l.maxObjective, assumed)
	recent := l.recentAnswers.rate(l.now, l.now-longAgo, l.maxObjective, 0) * l.maxObjective
	return math.Max(long, (recent-2*math.Sqrt(recent))/l.maxObjective)
}

// rejectChance spreads the part of the load to be shed over classes and tenants, and returns the chance that
// the request is rejected: 0 or less for none, 1 or more for all of its value.
//
// The value of a class and tenant is what an answer adds to Config.Goal, per ms of work. All load of a
// smaller value is shed first, then that of about the same value.
func (l *admission) rejectChance(r *request, shed float64) float64 {
	all := l.demand.summarize()
	total, below, like, own := 0.0, 0.0, 1e-3, l.value(&all, r.stats, r.tenant)
	for c := range l.demand.classes {
		for t := range l.demand.tenants {
			class, tenant := &l.demand.classes[c], &l.demand.tenants[t]
			work := class.arrived * class.mean * tenant.arrived
			total += work
			if value := l.value(&all, class, tenant); value*shedValueBand < own {
				below += work
			} else if value < own*shedValueBand {
				like += work
			}
		}
	}
	return (shed*total - below) / like
}

// value is what an answer to a request of the class and tenant adds to Config.Goal, per ms of work. The part
// of a tenant's demand above its quota counts less; the class and the tenant served worst count for
// themselves as well.
func (l *admission) value(all *demandSummary, class *classStats, tenant *requestCounts) float64 {
	goal := &l.cfg.Goal
	v := (goal.Overall + goal.WorstWindow) * class.priorityWeight / all.weight
	if class == all.weakClass {
		v += goal.WorstClass / class.arrived
	}
	if tenant.quota > 0 {
		over := l.cfg.OverQuotaWeight
		v *= over + (1-over)*math.Min(tenant.quota*all.arrived/tenant.arrived, maxQuotaCredit)
	}
	if tenant == all.weakTenant {
		v += goal.WorstTenant * class.priorityWeight / all.weight * all.arrived / tenant.arrived
	}
	return v / math.Max(class.mean, minWork)
}

// recordAnswer records a good answer and its latency as a multiple of the objective.
func (l *admission) recordAnswer(latency float64) {
	l.answers.add(l.now, rateSpanObjectives*l.maxObjective)
	l.recentAnswers.add(l.now, l.maxObjective)
	l.latencySamples = math.Min(l.latencySamples+1, meanWindow)
	l.meanLatency += (math.Min(latency, maxLatency) - l.meanLatency) / l.latencySamples
	if l.latencySamples == meanWindow {
		l.minMeanLatency = math.Min(l.minMeanLatency, l.meanLatency)
	}
}

// recordAbandoned counts an attempt whose client left as the part of an answer that fits into the time it
// had, by the estimated latency. So neither its load nor its missing answer moves the estimate.
func (l *admission) recordAbandoned(r *request, a *attempt) {
	if a.inLoad && !a.endsAtObjective {
		expected := r.class.LatencyObjective * math.Max(l.estimatedLatency, l.minMeanLatency)
		part := (l.now - a.sentAt) / expected
		l.abandoned.addPart(l.now, rateSpanObjectives*l.maxObjective, math.Min(part, 1))
	}
}

func (l *admission) abandonedRate() float64 {
	return l.abandoned.rate(l.now, l.started, rateSpanObjectives*l.maxObjective, 0)
}
