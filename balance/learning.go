package balance

import "math"

const (
	// Step of a server's log size per response; its kind and zone move by half a step.
	logSizeStep        = 0.01
	maxLogSize         = 2.5 // bound of the absolute value of each learned log size
	meanStepWindow     = 200 // responses over which the mean step of all servers is averaged
	initialStepFactor  = 24  // added to the step factor of 1 at the start, when no size is known; falls to 0
	maxRelativeLatency = 3   // upper limit of relative latencies; failures count as this
)

// capacityModel learns the sizes of servers from the latencies of their responses. The logarithm of a
// size is the sum of three terms: of the server, its kind and its zone. Each response moves the terms by
// a step that equalises latencies. The mean step of all servers is subtracted, since it is due to load
// and not to size.
type capacityModel struct {
	*shared
	slowStart    *slowStart
	kindLogSizes map[int]float64 // learned term of each kind
	zoneLogSizes map[int]float64 // learned term of each zone
	samples      float64         // responses learned from
	meanStep     float64         // exponentially weighted mean of the steps
}

func newCapacityModel(s *shared, slowStart *slowStart) *capacityModel {
	return &capacityModel{
		shared: s, slowStart: slowStart, kindLogSizes: map[int]float64{}, zoneLogSizes: map[int]float64{},
	}
}

// learn updates the sizes from a response with the given latency, a multiple of the mean latency of its
// class.
func (m *capacityModel) learn(s *server, relativeLatency float64) {
	if m.slowStart.warmingUp(s) {
		return
	}
	step := 1 - math.Min(relativeLatency, maxRelativeLatency)
	m.meanStep += (step - m.meanStep) / meanStepWindow
	m.samples++
	step = logSizeStep * (1 + initialStepFactor/(1+m.samples/meanWindow)) * (step - m.meanStep)
	s.logSize = bound(s.logSize+step, -maxLogSize, maxLogSize)
	m.kindLogSizes[s.Kind] = bound(m.kindLogSizes[s.Kind]+step/2, -maxLogSize, maxLogSize)
	m.zoneLogSizes[s.Zone] = bound(m.zoneLogSizes[s.Zone]+step/2, -maxLogSize, maxLogSize)
}

// size returns the learned size of a server; 1 before anything was learned.
func (m *capacityModel) size(s *server) float64 {
	return math.Exp(s.logSize + m.kindLogSizes[s.Kind] + m.zoneLogSizes[s.Zone])
}
