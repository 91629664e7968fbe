package upgrade

import "time"

// Untold is what is known of answers that nobody has told of. Hosts tell as they see
// failures, so what is untold is good; and hosts have about as many answers of all versions
// a second as each other. Silent hosts were taken to have seen as many of the target's as
// those that told, who told because they had seen some: 34 answers of 17 hosts made 147 good ones of
// 74 others, where some five had come (log of a played day). With nothing untold a good
// version beside endpoints that fail 0.45 showed 0.58 (176 of 302 answers, spec).
type Untold struct {
	Silent  int           // hosts that have told nothing
	Elapsed time.Duration // since the upgrade was begun; 0 if it is not known
	// Part and RecentPart are the target's share of all answers since then and of the recent
	// ones, by the shares of the keys that it had.
	Part, RecentPart float64
}

// known reports whether the target's answers can be estimated.
func (u Untold) known() bool { return u.Elapsed > 0 }

// sinceOrder returns how many answers of the target on a route, or on all ("") nobody
// has told of, since the order.
func (u Untold) sinceOrder(told []Evidence) func(route string, p Pair) int {
	seen := crowdOf(told, len(told)+u.Silent)
	return func(_ string, p Pair) int {
		if !u.known() {
			return seen.asTold(p, len(told))
		}
		return seen.untold(p, p, u.Part, u.Elapsed)
	}
}

// ofLate is the same of the recent answers, of which some hosts told; whole has all
// answers since the order.
func (u Untold) ofLate(told []Evidence, tellers int, whole sums) func(route string, p Pair) int {
	seen := crowdOf(told, len(told)+u.Silent)
	return func(route string, p Pair) int {
		if !u.known() {
			return seen.asTold(p, tellers)
		}
		return seen.untold(p, whole.of(route), u.RecentPart, min(recentSpan, u.Elapsed))
	}
}

// crowd is a number of hosts, some of which have told what they saw in some time, added up.
type crowd struct {
	hosts   int
	seconds float64
}

func crowdOf(told []Evidence, hosts int) crowd {
	c := crowd{hosts: hosts}
	for _, e := range told {
		c.seconds += e.Seconds
	}
	return c
}

// untold is how many answers of the target the crowd has had in a span besides those that
// were told, if the target had a part of all answers, of which some hosts told.
func (c crowd) untold(told, all Pair, part float64, span time.Duration) int {
	if c.seconds <= 0 {
		return 0
	}
	rate := float64(all.Target.answers()-all.unseen+all.Other.answers()) / c.seconds
	return max(int(part*rate*span.Seconds()*float64(c.hosts))-told.Target.answers(), 0)
}

// asTold takes all others to have seen as many of the target's answers as those that told.
func (c crowd) asTold(p Pair, tellers int) int {
	if tellers == 0 {
		return 0
	}
	return (c.hosts - tellers) * p.Target.answers() / tellers
}
