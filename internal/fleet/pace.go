package fleet

const (
	// paceWeight is the weight of a reported pace, which changes many times a second: about ten
	// reports count.
	paceWeight = 0.1
	// maxReportedPace bounds the effect of one report.
	maxReportedPace = 20.0
	// plainPaceCost is the load that a request without a prompt accepts to run in half of the time.
	plainPaceCost = 0.5
)

// pace returns how long work takes at an endpoint relative to the usual time (1): the smoothed pace
// that it reports.
func (m *member) pace() float64 {
	if m.smoothedPace == 0 {
		return 1
	}
	return m.smoothedPace
}

// updatePace records a pace that an endpoint reports. An endpoint that shares its machine with
// others may be several times slower for seconds while none of its slots is in use.
func (m *member) updatePace(reported float64) {
	if reported <= 0 {
		return
	}
	m.smoothedPace = m.pace() + paceWeight*(min(reported, maxReportedPace)-m.pace())
}
