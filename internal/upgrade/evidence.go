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

// atMost takes the smaller of both counts, one by one.
func (c Count) atMost(o Count) Count {
	return Count{Good: min(c.Good, o.Good), Bad: min(c.Bad, o.Bad), Paced: min(c.Paced, o.Paced), Slow: min(c.Slow, o.Slow)}
}

// grownSince reports whether so many more answers were counted that others should know.
// Slow ones don't count for that: hosts that told of each as it came showed more of them
// than there were, and a good version was rolled back.
func (c Count) grownSince(o Count) bool {
	doubled := func(now, before int) bool { return now > before && now >= publishGrowth*before }
	return doubled(c.Good, o.Good) || doubled(c.Bad, o.Bad) || doubled(c.Paced, o.Paced)
}

// String shows the count in logs.
func (c Count) String() string {
	return fmt.Sprintf("%d bad of %d, %d slow of %d", c.Bad, c.answers(), c.Slow, c.Paced)
}

// answers counts them, good and bad ones.
func (c Count) answers() int { return c.Good + c.Bad }

// badRate is the part of bad answers; 0 without any.
func (c Count) badRate() float64 { return float64(c.Bad) / float64(max(c.answers(), 1)) }

// slowRate is the part of slow answers; 0 without any.
func (c Count) slowRate() float64 { return float64(c.Slow) / float64(max(c.Paced, 1)) }

// VersionCounts counts answers of the target and of the other versions.
type VersionCounts struct {
	Target Count `json:"target"`
	Other  Count `json:"other"`
	// By endpoint, those since the target got its first share: failures of another time say
	// nothing of the same endpoints now.
	TargetByEndpoint Tallies `json:"target_by,omitempty"`
	OtherByEndpoint  Tallies `json:"other_by,omitempty"`
	// assumedGood are answers of the target that hosts are taken to have seen which have not told.
	assumedGood int
	fit         excessFit // of its failures, once it is weighed
}

// add adds another pair's answers, in maps of its own.
func (p *VersionCounts) add(o VersionCounts) {
	p.Target, p.Other = p.Target.plus(o.Target), p.Other.plus(o.Other)
	p.TargetByEndpoint, p.OtherByEndpoint = p.TargetByEndpoint.add(o.TargetByEndpoint), p.OtherByEndpoint.add(o.OtherByEndpoint)
	p.assumedGood += o.assumedGood
}

// addToRoute adds a pair to a route's.
func addToRoute(routes map[string]VersionCounts, route string, p VersionCounts) {
	sum := routes[route]
	sum.add(p)
	routes[route] = sum
}

// targetFraction is the part of all answers that the target gave; 0 without any.
func (p VersionCounts) targetFraction() float64 {
	return float64(p.Target.answers()) / float64(max(p.Target.answers()+p.Other.answers(), 1))
}

// withReference returns a pair whose others show what they do at their worst, now or before:
// what troubles all versions is no fault of the target's. What fewer answers than the target's
// show of endpoints now is chance.
func (p VersionCounts) withReference(earlier VersionCounts) VersionCounts {
	if earlier.OtherByEndpoint.badRate() > p.OtherByEndpoint.badRate() || p.OtherByEndpoint.sum().all() < p.Target.answers() {
		p.OtherByEndpoint = earlier.OtherByEndpoint
	}
	if earlier.Other.badRate() > p.Other.badRate() || p.Other.answers() == 0 {
		p.Other.Good, p.Other.Bad = earlier.Other.Good, earlier.Other.Bad
	}
	if earlier.Other.slowRate() > p.Other.slowRate() || p.Other.Paced == 0 {
		p.Other.Paced, p.Other.Slow = earlier.Other.Paced, earlier.Other.Slow
	}
	return p.withFit()
}

// withFit returns the pair with its failures withFit against those of the other versions'
// endpoints; too few of them tell nothing.
func (p VersionCounts) withFit() VersionCounts {
	if p.Target.Bad >= minSuspectFailures {
		p.fit = fitExcess(p.TargetByEndpoint, p.OtherByEndpoint, p.assumedGood)
	}
	return p
}

// withAssumedGood adds good answers of the target that nobody has told of.
func (p VersionCounts) withAssumedGood(n int) VersionCounts {
	p.Target.Good, p.assumedGood = p.Target.Good+n, p.assumedGood+n
	return p
}

// Evidence is what answers told, by route.
type Evidence struct {
	Revision  int64                    `json:"revision"`  // of the order
	Seconds   float64                  `json:"seconds"`   // for which the host has counted
	Routes    map[string]VersionCounts `json:"routes"`    // since the order
	Recent    map[string]VersionCounts `json:"recent"`    // of these, the answers of the last moments
	Endpoints []string                 `json:"endpoints"` // of the target that gave bad or slow answers
}

// plus adds what an earlier life of the same host told since the order.
func (e Evidence) plus(o Evidence) Evidence {
	routes := map[string]VersionCounts{}
	for _, hostRoutes := range []map[string]VersionCounts{e.Routes, o.Routes} {
		for name, p := range hostRoutes {
			addToRoute(routes, name, p)
		}
	}
	e.Routes, e.Seconds = routes, e.Seconds+o.Seconds
	for _, id := range o.Endpoints {
		e.addFaultyEndpoint(id)
	}
	return e
}

// addFaultyEndpoint adds an endpoint to those that gave bad or slow answers.
func (e *Evidence) addFaultyEndpoint(id string) {
	for _, known := range e.Endpoints {
		if known == id {
			return
		}
	}
	e.Endpoints = append(e.Endpoints, id)
}

// targetTotal counts what was seen of the target on all routes.
func targetTotal(routes map[string]VersionCounts) Count {
	sum := Count{}
	for _, p := range routes {
		sum = sum.plus(p.Target)
	}
	return sum
}

// routesSinceOrder returns what hosts told of all answers since the order.
func routesSinceOrder(evidence []Evidence) []map[string]VersionCounts {
	all := make([]map[string]VersionCounts, len(evidence))
	for i, e := range evidence {
		all[i] = e.Routes
	}
	return all
}

// recentRoutes returns what hosts told of recent answers, of those that told of any.
func recentRoutes(evidence []Evidence) []map[string]VersionCounts {
	var recent []map[string]VersionCounts
	for _, e := range evidence {
		if len(e.Recent) > 0 {
			recent = append(recent, e.Recent)
		}
	}
	return recent
}

// totals is the evidence of several hosts put together.
type totals struct {
	routes map[string]VersionCounts
	total  VersionCounts
}

// sumRoutes adds up what hosts told, by endpoint only where that is needed: with it a sum of 91
// hosts takes most of a judgement, and while nothing fails nobody asks for it.
func sumRoutes(hosts []map[string]VersionCounts, byEndpoint bool) totals {
	s := totals{routes: map[string]VersionCounts{}}
	for _, routes := range hosts {
		for name, p := range routes {
			if !byEndpoint {
				p.TargetByEndpoint, p.OtherByEndpoint = nil, nil
			}
			addToRoute(s.routes, name, p)
		}
	}
	for _, p := range s.routes {
		s.total.add(p)
	}
	return s
}

// mapCounts returns sums whose pairs are changed; the total has no route.
func (s totals) mapCounts(change func(route string, p VersionCounts) VersionCounts) totals {
	changed := totals{routes: map[string]VersionCounts{}, total: change("", s.total)}
	for name, p := range s.routes {
		changed.routes[name] = change(name, p)
	}
	return changed
}

// withAssumedGood adds the answers of the target that nobody has told of.
func (s totals) withAssumedGood(unreported func(route string, p VersionCounts) int) totals {
	return s.mapCounts(func(route string, p VersionCounts) VersionCounts { return p.withAssumedGood(unreported(route, p)) })
}

// withFit weighs all failures.
func (s totals) withFit() totals {
	return s.mapCounts(func(_ string, p VersionCounts) VersionCounts { return p.withFit() })
}

// withReference weighs them withReference what the others showed before.
func (s totals) withReference(earlier totals) totals {
	return s.mapCounts(func(route string, p VersionCounts) VersionCounts { return p.withReference(earlier.countsOf(route)) })
}

// countsOf is a route's pair; that countsOf no route is the total.
func (s totals) countsOf(route string) VersionCounts {
	if route == "" {
		return s.total
	}
	return s.routes[route]
}

// targetFailures counts the target's failures.
func targetFailures(evidence []Evidence) int {
	n := 0
	for _, e := range evidence {
		n += targetTotal(e.Routes).Bad
	}
	return n
}

// faultyEndpoints counts the endpoints of the target that gave bad or slow answers.
func faultyEndpoints(evidence []Evidence) int {
	ids := map[string]bool{}
	for _, e := range evidence {
		for _, id := range e.Endpoints {
			ids[id] = true
		}
	}
	return len(ids)
}
