package fleet

const (
	// paceStep weighs an endpoint's word of its pace, which changes many times a second: some ten
	// count.
	paceStep = 0.1
	// paceMost bounds what one word tells.
	paceMost = 20.0
	// plainPace is the load that a request without a prompt passes by to be done in half of the
	// time.
	plainPace = 0.5
)

// pace is how long work takes at an endpoint, 1 as usual: what it has lately said, smoothed.
func (m *member) pace() float64 {
	if m.paced == 0 {
		return 1
	}
	return m.paced
}

// heardPace takes in an endpoint's word of its pace. One that shares its machine with others may be
// several times slower for seconds, with nothing in its slots.
func (m *member) heardPace(said float64) {
	if said <= 0 {
		return
	}
	m.paced = m.pace() + paceStep*(min(said, paceMost)-m.pace())
}
