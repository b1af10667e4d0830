package balance

// This file learns from answers how large servers are and how long the answers of each class take.

import "math"

const (
	learnRate     = 0.01 // step of a server's size for each answer; its kind and zone move with half of it
	maxSize       = 2.5  // bound of each learned logarithm of size
	memory        = 300  // answers over which a class's mean and deviation are taken
	earlyLearning = 24   // times faster that sizes are learned at first: restarted sidecars know none
)

// learnSize moves sizes until answers take equally long everywhere. What all servers share is load, not size.
func (b *Balancer) learnSize(s *server, took float64) {
	if b.warmingUp(s) {
		return
	}
	step := math.Max(-2, 1-took)
	b.drift += (step - b.drift) / 200
	b.learned++
	step = learnRate * (1 + earlyLearning/(1+b.learned/meanWindow)) * (step - b.drift)
	s.size = bound(s.size+step, -maxSize, maxSize)
	b.kindSizes[s.Kind] = bound(b.kindSizes[s.Kind]+step/2, -maxSize, maxSize)
	b.zoneSizes[s.Zone] = bound(b.zoneSizes[s.Zone]+step/2, -maxSize, maxSize)
}

// add takes in an answer: of many the newest count, and each fades alike.
func (c *classStats) add(took float64) {
	c.n = math.Min(c.n+1, memory)
	c.mean += (took - c.mean) / c.n
	c.dev += (math.Abs(took-c.mean) - c.dev) / c.n
}

// decayingCounter counts events and forgets them exponentially.
type decayingCounter struct{ n, at float64 }

func (m *decayingCounter) add(now, span float64) { m.addPart(now, span, 1) }

func (m *decayingCounter) addPart(now, span, part float64) {
	m.n, m.at = m.n*math.Exp((m.at-now)/span)+part, now
}

// rate is the number a millisecond since the start, some assumed ones included.
func (m *decayingCounter) rate(now, start, span, assumed float64) float64 {
	seen := math.Max(-math.Expm1((start-now)/span), minSpanFraction)
	return (m.n*math.Exp((m.at-now)/span)/seen + assumed) / span
}
