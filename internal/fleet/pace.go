package fleet

const (
	// paceWeight weighs an endpoint's word of its pace, which changes many times a second: some ten
	// count.
	paceWeight = 0.1
	// maxReportedPace bounds what one word tells.
	maxReportedPace = 20.0
	// plainPaceCost is the load that a request without a prompt passes by to be done in half of the
	// time.
	plainPaceCost = 0.5
)

// pace is how long work takes at an endpoint, 1 as usual: what it has lately said, smoothed.
func (m *member) pace() float64 {
	if m.smoothedPace == 0 {
		return 1
	}
	return m.smoothedPace
}

// updatePace takes in an endpoint's word of its pace. One that shares its machine with others may be
// several times slower for seconds, with nothing in its slots.
func (m *member) updatePace(said float64) {
	if said <= 0 {
		return
	}
	m.smoothedPace = m.pace() + paceWeight*(min(said, maxReportedPace)-m.pace())
}
