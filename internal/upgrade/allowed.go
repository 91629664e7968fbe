package upgrade

import (
	"time"

	"quaybarrow/internal/clock"
)

// versionGoneAfter is how long the version in use has to be without an endpoint before others serve that no
// order has named: endpoints that crash or restart are listed again sooner.
const versionGoneAfter = 10 * time.Second

// Allowed returns a predicate for the versions that a request with the given key may run on; nil
// allows any version.
func (t *Tracker) Allowed(name string, key uint64) func(version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		initial := t.initialVersion(name)
		if initial == "" {
			return nil
		}
		return only(initial)
	}
	return t.choice(name, s, key).allowed()
}

// choice returns the state of a service's newest order for a request with the given key.
func (t *Tracker) choice(name string, s *serviceUpgrade, key uint64) choice {
	c := choice{
		target: s.order.Target, base: t.baseVersion(name, s), keyOnTarget: t.useTarget(s, key),
		withdrawn: s.rejectReason != "", rowsKnown: t.rowsKnown(s), timeOver: t.timeOver(s),
	}
	versions := t.versions[name]
	if versions != nil {
		c.counts = versions.counts
	}
	if s.hasBegun() {
		c.withdrawn = c.withdrawn || s.progress.Outcome == OutcomeRolledBack
		if s.progress.Outcome == OutcomeCompleted {
			c.base, c.baseGone = c.target, versions.goneFor(c.target) >= versionGoneAfter
		}
	}
	return c
}

// choice is what decides on which versions a request runs while an order is known.
type choice struct {
	target      string
	base        string         // version in use; "" if unknown
	baseGone    bool           // it has had no endpoint for long
	keyOnTarget bool           // the request's key is in the target's share
	withdrawn   bool           // the target was found bad
	rowsKnown   bool           // the progress of the order is known, or known not to have begun
	timeOver    bool           // the order's time is over
	counts      map[string]int // endpoints that take requests, by version; nil if unknown
}

// allowed returns the versions that the request may run on. The version in use is exactly one because
// endpoints of a version that was rolled back are still present while the next order runs, and must get no
// requests. Where it has no endpoint, others serve. The target serves beyond its share only if there are no
// others: at once if the version in use is unknown, since the order may name it, and otherwise after the
// order's time, as the version in use may come back. A version that was found bad never does.
func (c choice) allowed() func(version string) bool {
	switch {
	case c.keyOnTarget && c.has(c.target):
		return only(c.target)
	case c.base == c.target && !c.baseGone:
		return only(c.target)
	case c.base != "" && c.base != c.target && c.has(c.base):
		return only(c.base)
	case c.othersPresent(), c.withdrawn, c.counts == nil, !c.rowsKnown:
		return exceptFor(c.target)
	case c.base == "", c.base == c.target, c.timeOver:
		return only(c.target)
	default:
		return exceptFor(c.target)
	}
}

// has reports whether a version has endpoints, or may have.
func (c choice) has(version string) bool { return c.counts == nil || c.counts[version] > 0 }

// othersPresent reports whether versions besides the target have endpoints.
func (c choice) othersPresent() bool {
	for version, n := range c.counts {
		if version != c.target && n > 0 {
			return true
		}
	}
	return false
}

// only returns a predicate for a single version.
func only(version string) func(string) bool { return func(v string) bool { return v == version } }

// exceptFor returns a predicate for all versions but one.
func exceptFor(version string) func(string) bool { return func(v string) bool { return v != version } }

// baseVersion returns the version in use, which serves the requests that do not go to the target, or ""
// if it is unknown. It is the target if the order names the version in use.
func (t *Tracker) baseVersion(name string, s *serviceUpgrade) string {
	initial := t.initialVersion(name)
	switch {
	case s.hasBegun():
		return s.progress.Base
	case s.row.Version != 0 && s.progress.Outcome == OutcomeCompleted:
		return s.progress.Target
	case s.row.Version != 0 && s.progress.Base != "":
		return s.progress.Base
	case s.inUse != "":
		return s.inUse
	case initial != s.order.Target:
		return initial
	case t.rowsKnown(s) && t.versions[name].sole:
		return initial
	default:
		return "" // the target's endpoints may be there for the order, and those in use fewer
	}
}

// rowsKnown reports whether this host knows the progress of an order, or that the order has not begun.
func (t *Tracker) rowsKnown(s *serviceUpgrade) bool { return t.tableRead || s.row.Version != 0 }

// timeOver reports whether an order's time is over.
func (t *Tracker) timeOver(s *serviceUpgrade) bool {
	if !s.hasBegun() {
		return clock.Since(s.orderedAt) >= s.order.Within
	}
	now, known := t.options.Watch.Now()
	return known && s.progress.overtime(now)
}

// namesVersionInUse reports whether an order names the version that the service has. Then nothing is to be
// moved and there is nothing to judge the version by or to go back to, so the order is done.
func (t *Tracker) namesVersionInUse(s *serviceUpgrade) bool {
	target, base := s.order.Target, t.baseVersion(s.order.Service, s)
	if base != "" {
		return base == target
	}
	// Hosts of an earlier version leave the base of such an order unknown.
	v, ok := t.versions[s.order.Service]
	return ok && s.hasBegun() && v.sole && v.initial == target && v.counts[target] > 0
}

// keyScale maps the upper 53 bits of a key to [0, 1).
const keyScale = 1 << 53

// useTarget reports whether requests with this key currently go to the target version.
func (t *Tracker) useTarget(s *serviceUpgrade, key uint64) bool {
	switch {
	case !s.hasBegun():
		return false
	case s.progress.Outcome == OutcomeCompleted:
		return true
	case s.progress.Outcome == OutcomeRolledBack || s.rejectReason != "":
		return false
	}
	now, ok := t.options.Watch.Now()
	if !ok {
		return false
	}
	return float64(key>>11)/keyScale < s.progress.Share(s.progress.elapsedAt(now), s.schedule)
}
