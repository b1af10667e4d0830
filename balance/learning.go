package balance

import "math"

const (
	sizeStep           = 0.01 // of a server's logarithm of size per answer; kind and zone move by half of it
	maxSize            = 2.5  // bound of each learned logarithm of size
	driftSamples       = 200  // answers over which the mean step of all servers is taken
	initialSpeedUp     = 24   // factor by which steps are larger at the start: no size is known
	maxRelativeLatency = 3    // latency as which failures and slower answers count
)

// capacityModel learns from answers how large servers are. A size is the sum of three logarithms: of the
// server, its kind and its zone. Each answer moves them by a step towards equal latencies; the mean step of
// all servers, which comes from load and not from size, is taken off.
type capacityModel struct {
	*shared
	slowStart *slowStart
	kindSizes map[int]float64 // learned logarithm of size by kind
	zoneSizes map[int]float64 // learned logarithm of size by zone
	samples   float64         // answers learned from
	drift     float64         // exponentially weighted mean of the steps
}

func newCapacityModel(s *shared, slowStart *slowStart) *capacityModel {
	return &capacityModel{
		shared: s, slowStart: slowStart, kindSizes: map[int]float64{}, zoneSizes: map[int]float64{},
	}
}

// learn updates the sizes by an answer whose latency is given as a multiple of the mean of its class.
func (m *capacityModel) learn(s *server, relativeLatency float64) {
	if m.slowStart.warmingUp(s) {
		return
	}
	step := 1 - math.Min(relativeLatency, maxRelativeLatency)
	m.drift += (step - m.drift) / driftSamples
	m.samples++
	step = sizeStep * (1 + initialSpeedUp/(1+m.samples/meanWindow)) * (step - m.drift)
	s.size = bound(s.size+step, -maxSize, maxSize)
	m.kindSizes[s.Kind] = bound(m.kindSizes[s.Kind]+step/2, -maxSize, maxSize)
	m.zoneSizes[s.Zone] = bound(m.zoneSizes[s.Zone]+step/2, -maxSize, maxSize)
}

// size is the learned size of a server; 1 where nothing is known.
func (m *capacityModel) size(s *server) float64 {
	return math.Exp(s.size + m.kindSizes[s.Kind] + m.zoneSizes[s.Zone])
}
