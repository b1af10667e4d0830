package routeclient

// sampleRing is a ring buffer of the newest samples.
type sampleRing struct {
	items       [sampleRingSize]Sample
	first, used int
	lost        int64 // number of dropped samples
}

// put adds a sample. If the ring is full, it drops the oldest sample. This loses no data: the newer samples contain the
// same totals, and NeedsUnits, which is not a total, is copied to the new sample.
func (r *sampleRing) put(s Sample) {
	if r.used == sampleRingSize {
		s.NeedsUnits = s.NeedsUnits || r.items[r.first].NeedsUnits
		r.take()
		r.lost++
	}
	r.items[(r.first+r.used)%sampleRingSize] = s
	r.used++
}

// take removes and returns the oldest sample, if any.
func (r *sampleRing) take() (Sample, bool) {
	if r.used == 0 {
		return Sample{}, false
	}
	s := r.items[r.first]
	r.items[r.first] = Sample{}
	r.first = (r.first + 1) % sampleRingSize
	r.used--
	return s, true
}
