package upgrade

// hostCounts are one host's counts by route and by load level.
type hostCounts struct{ routes, levels map[string]VersionCounts }

// countsSinceOrder returns each host's counts since the order.
func countsSinceOrder(evidence []Evidence) []hostCounts {
	all := make([]hostCounts, len(evidence))
	for i, e := range evidence {
		all[i] = hostCounts{e.Routes, e.Levels}
	}
	return all
}

// recentHostCounts returns the recent counts of each host that has any.
func recentHostCounts(evidence []Evidence) []hostCounts {
	var recent []hostCounts
	for _, e := range evidence {
		if len(e.Recent) > 0 {
			recent = append(recent, hostCounts{e.Recent, e.RecentLevels})
		}
	}
	return recent
}

// totals is the sum of several hosts' evidence: over all routes, by route, and over all routes by load
// level.
type totals struct {
	total  VersionCounts
	routes map[string]VersionCounts
	levels map[string]VersionCounts
}

// part names a part of totals: a route, or a load level; neither for the total.
type part struct{ route, level string }

// sumHosts adds up the counts of several hosts. It includes counts by endpoint only if byEndpoint
// is set: they dominate the cost of a judgement with 91 hosts and are needed only when the target
// has failures.
func sumHosts(hosts []hostCounts, byEndpoint bool) totals {
	s := totals{routes: map[string]VersionCounts{}, levels: map[string]VersionCounts{}}
	for _, h := range hosts {
		addAll(s.routes, h.routes, byEndpoint)
		addAll(s.levels, h.levels, byEndpoint)
	}
	for _, p := range s.routes {
		s.total.add(p)
	}
	return s
}

// addAll adds counts by key to sums, those by endpoint only if byEndpoint is set.
func addAll(sums, counts map[string]VersionCounts, byEndpoint bool) {
	for key, p := range counts {
		if !byEndpoint {
			p.TargetByEndpoint, p.OtherByEndpoint = nil, nil
		}
		addCounts(sums, key, p)
	}
}

// mapCounts applies change to the total and to each route's and load level's counts.
func (s totals) mapCounts(change func(part, VersionCounts) VersionCounts) totals {
	changed := totals{total: change(part{}, s.total), routes: map[string]VersionCounts{}, levels: map[string]VersionCounts{}}
	for name, p := range s.routes {
		changed.routes[name] = change(part{route: name}, p)
	}
	for name, p := range s.levels {
		changed.levels[name] = change(part{level: name}, p)
	}
	return changed
}

// withAssumedGood adds the target's answers that are estimated to be unpublished.
func (s totals) withAssumedGood(unreported func(part, VersionCounts) int) totals {
	return s.mapCounts(func(of part, p VersionCounts) VersionCounts { return p.withAssumedGood(unreported(of, p)) })
}

// withFit fits the failures of the total and of all its parts.
func (s totals) withFit() totals {
	return s.mapCounts(func(_ part, p VersionCounts) VersionCounts { return p.withFit() })
}

// withReference compares each part with the other versions' worst rates, recent or earlier.
func (s totals) withReference(earlier totals) totals {
	return s.mapCounts(func(of part, p VersionCounts) VersionCounts { return p.withReference(earlier.countsOf(of)) })
}

// countsOf returns the counts of a part.
func (s totals) countsOf(p part) VersionCounts {
	switch {
	case p.route != "":
		return s.routes[p.route]
	case p.level != "":
		return s.levels[p.level]
	default:
		return s.total
	}
}
