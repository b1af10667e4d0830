package routeclient

// sampleRing holds the newest samples.
type sampleRing struct {
	items       [sampleRingSize]Sample
	first, used int
	lost        int64 // samples that were dropped
}

// put adds a sample. In a full ring it drops the oldest one; totals lose nothing by that, and the need of units, which is
// no total, passes to the new one.
func (r *sampleRing) put(s Sample) {
	if r.used == sampleRingSize {
		s.NeedsUnits = s.NeedsUnits || r.items[r.first].NeedsUnits
		r.take()
		r.lost++
	}
	r.items[(r.first+r.used)%sampleRingSize] = s
	r.used++
}

// take removes the oldest sample.
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
