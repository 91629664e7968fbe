package upgrade

import "fmt"

// Count is how answers of a version went.
type Count struct {
	Good  int `json:"good"`
	Bad   int `json:"bad"`
	Paced int `json:"paced"` // answers whose pace is known
	Slow  int `json:"slow"`  // of these
}

func (c Count) plus(o Count) Count {
	return Count{Good: c.Good + o.Good, Bad: c.Bad + o.Bad, Paced: c.Paced + o.Paced, Slow: c.Slow + o.Slow}
}

// outgrows reports whether so many more answers were counted that others should know.
// Slow ones don't count for that: hosts that told of each as it came showed more of them
// than there were, and a good version was rolled back.
func (c Count) outgrows(o Count) bool {
	grown := func(now, before int) bool { return now > before && now >= publishGrowth*before }
	return grown(c.Good, o.Good) || grown(c.Bad, o.Bad) || grown(c.Paced, o.Paced)
}

// String shows the count in logs.
func (c Count) String() string {
	return fmt.Sprintf("%d bad of %d, %d slow of %d", c.Bad, c.answers(), c.Slow, c.Paced)
}

// answers counts them, good and bad ones.
func (c Count) answers() int { return c.Good + c.Bad }

// rate is the part of bad answers; 0 without any.
func (c Count) rate() float64 { return float64(c.Bad) / float64(max(c.answers(), 1)) }

// slowRate is the part of slow answers; 0 without any.
func (c Count) slowRate() float64 { return float64(c.Slow) / float64(max(c.Paced, 1)) }

// Pair counts answers of the target and of the other versions.
type Pair struct {
	Target Count `json:"target"`
	Other  Count `json:"other"`
}

func (p Pair) plus(o Pair) Pair {
	return Pair{Target: p.Target.plus(o.Target), Other: p.Other.plus(o.Other)}
}

// withSilent adds what hosts that tell nothing are taken to have seen, if some
// hosts together have told p.
func (p Pair) withSilent(silent, tellers int) Pair {
	return p.plus(Pair{
		Target: Count{Good: silent * p.Target.answers() / tellers},
		Other:  Count{Good: silent * p.Other.Good / tellers, Bad: silent * p.Other.Bad / tellers},
	})
}

// Evidence is what answers told, by route.
type Evidence struct {
	Revision  int64           `json:"revision"` // of the order
	Routes    map[string]Pair `json:"routes"`
	Endpoints []string        `json:"endpoints"` // of the target that gave bad or slow answers
}

// blame adds an endpoint to those that gave bad or slow answers.
func (e *Evidence) blame(id string) {
	for _, known := range e.Endpoints {
		if known == id {
			return
		}
	}
	e.Endpoints = append(e.Endpoints, id)
}

// target counts what was seen of the target on all routes.
func (e *Evidence) target() Count {
	sum := Count{}
	for _, p := range e.Routes {
		sum = sum.plus(p.Target)
	}
	return sum
}

// sums is the evidence of several hosts put together.
type sums struct {
	routes    map[string]Pair
	total     Pair
	endpoints int // of the target that gave bad or slow answers
}

func sumOf(told []Evidence, silent int) sums {
	s := sums{routes: map[string]Pair{}}
	blamed := map[string]bool{}
	for _, e := range told {
		for name, p := range e.Routes {
			s.routes[name] = s.routes[name].plus(p)
		}
		for _, id := range e.Endpoints {
			blamed[id] = true
		}
	}
	for name, p := range s.routes {
		s.routes[name] = p.withSilent(silent, len(told))
		s.total = s.total.plus(s.routes[name])
	}
	s.endpoints = len(blamed)
	return s
}
