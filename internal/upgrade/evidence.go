package upgrade

import (
	"fmt"
)

// Count aggregates the outcomes of a version's answers.
type Count struct {
	Good  int `json:"good"`
	Bad   int `json:"bad"`
	Paced int `json:"paced"` // answers whose pace was classified
	Slow  int `json:"slow"`  // of the paced ones
}

func (c Count) plus(o Count) Count {
	return Count{Good: c.Good + o.Good, Bad: c.Bad + o.Bad, Paced: c.Paced + o.Paced, Slow: c.Slow + o.Slow}
}

// atMost returns the field-wise minimum of both counts.
func (c Count) atMost(o Count) Count {
	return Count{Good: min(c.Good, o.Good), Bad: min(c.Bad, o.Bad), Paced: min(c.Paced, o.Paced), Slow: min(c.Slow, o.Slow)}
}

// grownSince reports whether a count has grown by publishGrowth since o, so that it is worth
// publishing. Slow answers are left out: hosts that published at each slow answer overstated the
// slow rate, and a good version was rolled back.
func (c Count) grownSince(o Count) bool {
	doubled := func(now, before int) bool { return now > before && now >= publishGrowth*before }
	return doubled(c.Good, o.Good) || doubled(c.Bad, o.Bad) || doubled(c.Paced, o.Paced)
}

// String formats the count for logs.
func (c Count) String() string {
	return fmt.Sprintf("%d bad of %d, %d slow of %d", c.Bad, c.answers(), c.Slow, c.Paced)
}

// answers returns the number of good and bad answers.
func (c Count) answers() int { return c.Good + c.Bad }

// badRate returns the fraction of answers that are bad; 0 without answers.
func (c Count) badRate() float64 { return float64(c.Bad) / float64(max(c.answers(), 1)) }

// slowRate returns the fraction of paced answers that are slow; 0 without any.
func (c Count) slowRate() float64 { return float64(c.Slow) / float64(max(c.Paced, 1)) }

// VersionCounts holds the counts of the target version and of all other versions.
type VersionCounts struct {
	Target Count `json:"target"`
	Other  Count `json:"other"`
	// By endpoint. OtherByEndpoint starts when the target gets its first share, since failures at
	// another time do not predict what the same endpoints fail now.
	TargetByEndpoint Tallies `json:"target_by,omitempty"`
	OtherByEndpoint  Tallies `json:"other_by,omitempty"`
	// assumedGood is the number of the target's answers that hosts are estimated to have seen and
	// not yet published; they are counted as good.
	assumedGood int
	fit         excessFit // of the target's failures; set by withFit
}

// add adds the counts of o. It does not modify the maps of o.
func (p *VersionCounts) add(o VersionCounts) {
	p.Target, p.Other = p.Target.plus(o.Target), p.Other.plus(o.Other)
	p.TargetByEndpoint, p.OtherByEndpoint = p.TargetByEndpoint.add(o.TargetByEndpoint), p.OtherByEndpoint.add(o.OtherByEndpoint)
	p.assumedGood += o.assumedGood
}

// addCounts adds counts to those of a route or load level.
func addCounts(counts map[string]VersionCounts, key string, p VersionCounts) {
	sum := counts[key]
	sum.add(p)
	counts[key] = sum
}

// targetFraction returns the target's fraction of all answers; 0 without answers.
func (p VersionCounts) targetFraction() float64 {
	return float64(p.Target.answers()) / float64(max(p.Target.answers()+p.Other.answers(), 1))
}

// withReference returns p with the higher of the other versions' failure and slow rates, recent
// ones (p) or earlier ones: a problem that affects all versions is not the target's fault. Recent
// per-endpoint counts of fewer answers than the target has are too noisy and are replaced by the
// earlier ones.
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

// withFit returns p with the target's failures fitted against those of the other versions'
// endpoints, if there are enough failures to be meaningful.
func (p VersionCounts) withFit() VersionCounts {
	if p.Target.Bad >= minSuspectFailures {
		p.fit = fitExcess(p.TargetByEndpoint, p.OtherByEndpoint, p.assumedGood)
	}
	return p
}

// withAssumedGood adds n unpublished answers of the target, counted as good.
func (p VersionCounts) withAssumedGood(n int) VersionCounts {
	p.Target.Good, p.assumedGood = p.Target.Good+n, p.assumedGood+n
	return p
}

// Evidence is what one host has observed during an upgrade.
type Evidence struct {
	Revision  int64                    `json:"revision"`  // of the order
	Seconds   float64                  `json:"seconds"`   // how long the host has been counting
	Routes    map[string]VersionCounts `json:"routes"`    // by route, since the order
	Recent    map[string]VersionCounts `json:"recent"`    // by route, within the last recentSpan
	Endpoints []string                 `json:"endpoints"` // of the target, with bad or slow answers
	// By load level, over all routes. Hosts of earlier releases publish none.
	Levels       map[string]VersionCounts `json:"levels,omitempty"`        // since the order
	RecentLevels map[string]VersionCounts `json:"recent_levels,omitempty"` // within the last recentSpan
}

// plus adds what an earlier process of the same host published since the order.
func (e Evidence) plus(o Evidence) Evidence {
	e.Routes, e.Levels = sumCounts(e.Routes, o.Routes), sumCounts(e.Levels, o.Levels)
	e.Seconds += o.Seconds
	for _, id := range o.Endpoints {
		e.addFaultyEndpoint(id)
	}
	return e
}

// sumCounts returns the sums of two counts by key.
func sumCounts(a, b map[string]VersionCounts) map[string]VersionCounts {
	sum := map[string]VersionCounts{}
	for _, counts := range []map[string]VersionCounts{a, b} {
		for key, p := range counts {
			addCounts(sum, key, p)
		}
	}
	return sum
}

// addFaultyEndpoint adds an endpoint to those with bad or slow answers, unless it is listed.
func (e *Evidence) addFaultyEndpoint(id string) {
	for _, known := range e.Endpoints {
		if known == id {
			return
		}
	}
	e.Endpoints = append(e.Endpoints, id)
}

// targetTotal sums the target's counts over all routes.
func targetTotal(routes map[string]VersionCounts) Count {
	sum := Count{}
	for _, p := range routes {
		sum = sum.plus(p.Target)
	}
	return sum
}

// targetFailures counts the target's bad answers on all hosts.
func targetFailures(evidence []Evidence) int {
	n := 0
	for _, e := range evidence {
		n += targetTotal(e.Routes).Bad
	}
	return n
}

// faultyEndpoints counts the target's distinct endpoints with bad or slow answers.
func faultyEndpoints(evidence []Evidence) int {
	ids := map[string]bool{}
	for _, e := range evidence {
		for _, id := range e.Endpoints {
			ids[id] = true
		}
	}
	return len(ids)
}
