package upgrade

// Tally counts an endpoint's good and bad answers, in this order.
type Tally [2]int

func (t Tally) good() int { return t[0] }
func (t Tally) bad() int  { return t[1] }
func (t Tally) all() int  { return t[0] + t[1] }

// plus returns the sum of both tallies.
func (t Tally) plus(o Tally) Tally { return Tally{t[0] + o[0], t[1] + o[1]} }

// Tallies holds a tally for each endpoint, which distinguishes failures on all endpoints of a
// version from failures on some of them.
type Tallies map[string]Tally

// tallyOne returns the tallies of a single answer.
func tallyOne(endpoint string, failed bool) Tallies {
	if failed {
		return Tallies{endpoint: {0, 1}}
	}
	return Tallies{endpoint: {1, 0}}
}

// add adds o, endpoint by endpoint, and returns the result, which is a new map if t is nil.
func (t Tallies) add(o Tallies) Tallies {
	if t == nil && len(o) > 0 {
		t = make(Tallies, len(o))
	}
	for id, n := range o {
		t[id] = t[id].plus(n)
	}
	return t
}

// sum returns the tally of all endpoints together.
func (t Tallies) sum() Tally {
	sum := Tally{}
	for _, n := range t {
		sum = sum.plus(n)
	}
	return sum
}

// badRate returns the fraction of bad answers; 0 without answers.
func (t Tallies) badRate() float64 {
	sum := t.sum()
	return float64(sum.bad()) / float64(max(sum.all(), 1))
}

// failing returns the number of endpoints with bad answers.
func (t Tallies) failing() int {
	n := 0
	for _, e := range t {
		if e.bad() > 0 {
			n++
		}
	}
	return n
}

// countByTally returns how many endpoints share each tally.
func (t Tallies) countByTally() map[Tally]int {
	same := make(map[Tally]int, len(t))
	for _, n := range t {
		same[n]++
	}
	return same
}
