package balance

import "math"

// milliseconds is a span, or a time on the clock of the events.
type milliseconds = float64

// shared is what all decisions of one balancer use: the settings, the present time, the random source, the servers
// and the actions of the event that is being handled.
type shared struct {
	cfg          Config
	maxObjective milliseconds // longest latency objective of all classes

	started milliseconds // when Start was called
	now     milliseconds // time of the event that is being handled
	rng     uint64       // state of the random source
	actions []Action     // of the event that is being handled

	servers []*server // those listed, by rank
	byID    map[ServerID]*server
}

func newShared(cfg Config) *shared {
	s := &shared{cfg: cfg, rng: cfg.Seed, maxObjective: 1, byID: map[ServerID]*server{}}
	for i := range cfg.Classes {
		s.maxObjective = math.Max(s.maxObjective, cfg.Classes[i].LatencyObjective)
	}
	if cfg.Goal == (Goal{}) {
		s.cfg.Goal.Overall = 1
	}
	return s
}

// startEvent sets the present time for a new event and drops the actions of the last one.
func (s *shared) startEvent(now milliseconds) { s.now, s.actions = now, s.actions[:0] }

func (s *shared) emit(a Action) { s.actions = append(s.actions, a) }

func (s *shared) log(text string) { s.emit(Action{Kind: Log, Text: text}) }

// random returns the next number from 0 to 1 of the random source, which is splitmix64 from the seed.
func (s *shared) random() float64 {
	s.rng += 0x9e3779b97f4a7c15
	return unit(mix(s.rng))
}

// randomFor returns a number from 0 to 1 for a and c that depends on the seed and this sidecar's number alone. It
// leaves the random source as it is.
func (s *shared) randomFor(a, c uint64) float64 {
	return unit(mix(mix(mix(s.cfg.Seed)^uint64(s.cfg.Number)) ^ mix(a+c*0x9e3779b97f4a7c15)))
}

// unit maps 64 random bits to a number from 0 to 1.
func unit(z uint64) float64 { return float64(z>>11) / (1 << 53) }

// mix is the finalizer of splitmix64.
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// bound limits v to the range from low to high.
func bound(v, low, high float64) float64 { return math.Max(low, math.Min(high, v)) }
