package upgrade

// Tally counts an endpoint's answers: the good ones and the failures.
type Tally [2]int

func (t Tally) good() int { return t[0] }
func (t Tally) bad() int  { return t[1] }
func (t Tally) all() int  { return t[0] + t[1] }

// plus adds both up.
func (t Tally) plus(o Tally) Tally { return Tally{t[0] + o[0], t[1] + o[1]} }

// Tallies count answers by endpoint, so that failures that all endpoints of a version show
// can be told from those of some endpoints.
type Tallies map[string]Tally

// tallyOne returns the tallies of one answer.
func tallyOne(endpoint string, failed bool) Tallies {
	if failed {
		return Tallies{endpoint: {0, 1}}
	}
	return Tallies{endpoint: {1, 0}}
}

// add adds others to the tallies, endpoint by endpoint; it returns them, since there may be
// none yet.
func (t Tallies) add(o Tallies) Tallies {
	if t == nil && len(o) > 0 {
		t = make(Tallies, len(o))
	}
	for id, n := range o {
		t[id] = t[id].plus(n)
	}
	return t
}

// sum adds up all endpoints' answers.
func (t Tallies) sum() Tally {
	sum := Tally{}
	for _, n := range t {
		sum = sum.plus(n)
	}
	return sum
}

// badRate is the part of failures; 0 without answers.
func (t Tallies) badRate() float64 {
	sum := t.sum()
	return float64(sum.bad()) / float64(max(sum.all(), 1))
}

// failing counts the endpoints that failed some answers.
func (t Tallies) failing() int {
	n := 0
	for _, e := range t {
		if e.bad() > 0 {
			n++
		}
	}
	return n
}

// countByTally counts endpoints with the same tally.
func (t Tallies) countByTally() map[Tally]int {
	same := make(map[Tally]int, len(t))
	for _, n := range t {
		same[n]++
	}
	return same
}
