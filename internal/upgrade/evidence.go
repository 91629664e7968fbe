package upgrade

import (
	"fmt"
)

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

// least takes the smaller of both counts, one by one.
func (c Count) least(o Count) Count {
	return Count{Good: min(c.Good, o.Good), Bad: min(c.Bad, o.Bad), Paced: min(c.Paced, o.Paced), Slow: min(c.Slow, o.Slow)}
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
	// By endpoint, those since the target got its first share: failures of another time say
	// nothing of the same endpoints now.
	TargetBy Tallies `json:"target_by,omitempty"`
	OtherBy  Tallies `json:"other_by,omitempty"`
	// unseen are answers of the target that hosts are taken to have seen which have not told.
	unseen int
	excess excess // of its failures, once it is weighed
}

// add adds another pair's answers, in maps of its own.
func (p *Pair) add(o Pair) {
	p.Target, p.Other = p.Target.plus(o.Target), p.Other.plus(o.Other)
	p.TargetBy, p.OtherBy = p.TargetBy.add(o.TargetBy), p.OtherBy.add(o.OtherBy)
	p.unseen += o.unseen
}

// addTo adds a pair to a route's.
func addTo(routes map[string]Pair, route string, p Pair) {
	sum := routes[route]
	sum.add(p)
	routes[route] = sum
}

// targetPart is the part of all answers that the target gave; 0 without any.
func (p Pair) targetPart() float64 {
	return float64(p.Target.answers()) / float64(max(p.Target.answers()+p.Other.answers(), 1))
}

// against returns a pair whose others show what they do at their worst, now or before:
// what troubles all versions is no fault of the target's. What fewer answers than the target's
// show of endpoints now is chance.
func (p Pair) against(before Pair) Pair {
	if before.OtherBy.rate() > p.OtherBy.rate() || p.OtherBy.sum().all() < p.Target.answers() {
		p.OtherBy = before.OtherBy
	}
	if before.Other.rate() > p.Other.rate() || p.Other.answers() == 0 {
		p.Other.Good, p.Other.Bad = before.Other.Good, before.Other.Bad
	}
	if before.Other.slowRate() > p.Other.slowRate() || p.Other.Paced == 0 {
		p.Other.Paced, p.Other.Slow = before.Other.Paced, before.Other.Slow
	}
	return p.weighed()
}

// weighed returns the pair with its failures weighed against those of the other versions'
// endpoints; too few of them tell nothing.
func (p Pair) weighed() Pair {
	if p.Target.Bad >= clearFailures {
		p.excess = newExcess(p.TargetBy, p.OtherBy, p.unseen)
	}
	return p
}

// withUnseen adds good answers of the target that nobody has told of.
func (p Pair) withUnseen(n int) Pair {
	p.Target.Good, p.unseen = p.Target.Good+n, p.unseen+n
	return p
}

// Evidence is what answers told, by route.
type Evidence struct {
	Revision  int64           `json:"revision"`  // of the order
	Seconds   float64         `json:"seconds"`   // for which the host has counted
	Routes    map[string]Pair `json:"routes"`    // since the order
	Recent    map[string]Pair `json:"recent"`    // of these, the answers of the last moments
	Endpoints []string        `json:"endpoints"` // of the target that gave bad or slow answers
}

// plus adds what an earlier life of the same host told since the order.
func (e Evidence) plus(o Evidence) Evidence {
	routes := map[string]Pair{}
	for _, told := range []map[string]Pair{e.Routes, o.Routes} {
		for name, p := range told {
			addTo(routes, name, p)
		}
	}
	e.Routes, e.Seconds = routes, e.Seconds+o.Seconds
	for _, id := range o.Endpoints {
		e.blame(id)
	}
	return e
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

// targetOf counts what was seen of the target on all routes.
func targetOf(routes map[string]Pair) Count {
	sum := Count{}
	for _, p := range routes {
		sum = sum.plus(p.Target)
	}
	return sum
}

// sinceOrder returns what hosts told of all answers since the order.
func sinceOrder(told []Evidence) []map[string]Pair {
	all := make([]map[string]Pair, len(told))
	for i, e := range told {
		all[i] = e.Routes
	}
	return all
}

// ofLate returns what hosts told of recent answers, of those that told of any.
func ofLate(told []Evidence) []map[string]Pair {
	var recent []map[string]Pair
	for _, e := range told {
		if len(e.Recent) > 0 {
			recent = append(recent, e.Recent)
		}
	}
	return recent
}

// sums is the evidence of several hosts put together.
type sums struct {
	routes map[string]Pair
	total  Pair
}

// sumOf adds up what hosts told, by endpoint only where that is needed: with it a sum of 91
// hosts takes most of a judgement, and while nothing fails nobody asks for it.
func sumOf(told []map[string]Pair, byEndpoint bool) sums {
	s := sums{routes: map[string]Pair{}}
	for _, routes := range told {
		for name, p := range routes {
			if !byEndpoint {
				p.TargetBy, p.OtherBy = nil, nil
			}
			addTo(s.routes, name, p)
		}
	}
	for _, p := range s.routes {
		s.total.add(p)
	}
	return s
}

// each returns sums whose pairs are changed; the total has no route.
func (s sums) each(change func(route string, p Pair) Pair) sums {
	changed := sums{routes: map[string]Pair{}, total: change("", s.total)}
	for name, p := range s.routes {
		changed.routes[name] = change(name, p)
	}
	return changed
}

// withUnseen adds the answers of the target that nobody has told of.
func (s sums) withUnseen(untold func(route string, p Pair) int) sums {
	return s.each(func(route string, p Pair) Pair { return p.withUnseen(untold(route, p)) })
}

// weighed weighs all failures.
func (s sums) weighed() sums {
	return s.each(func(_ string, p Pair) Pair { return p.weighed() })
}

// against weighs them against what the others showed before.
func (s sums) against(before sums) sums {
	return s.each(func(route string, p Pair) Pair { return p.against(before.of(route)) })
}

// of is a route's pair; that of no route is the total.
func (s sums) of(route string) Pair {
	if route == "" {
		return s.total
	}
	return s.routes[route]
}

// failed counts the target's failures.
func failed(told []Evidence) int {
	n := 0
	for _, e := range told {
		n += targetOf(e.Routes).Bad
	}
	return n
}

// blamed counts the endpoints of the target that gave bad or slow answers.
func blamed(told []Evidence) int {
	ids := map[string]bool{}
	for _, e := range told {
		for _, id := range e.Endpoints {
			ids[id] = true
		}
	}
	return len(ids)
}
