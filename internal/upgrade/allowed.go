package upgrade

// SetVersions takes note of a service's versions, so that endpoints of a new one get
// nothing before an order names it.
func (t *Tracker) SetVersions(service string, versions map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpointCounts[service] = versions
	if len(versions) == 1 {
		for v := range versions {
			t.initialVersions[service] = v
		}
		return
	}
	if _, ok := t.initialVersions[service]; ok {
		return
	}
	most := ""
	for v, n := range versions {
		if most == "" || n > versions[most] || (n == versions[most] && v < most) {
			most = v
		}
	}
	if most != "" {
		t.initialVersions[service] = most
	}
}

// Allowed returns which versions a request with a key may run on; nil for any.
func (t *Tracker) Allowed(name string, key uint64) func(version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		initial := t.initialVersions[name]
		if initial == "" {
			return nil
		}
		return func(v string) bool { return v == initial }
	}
	target := s.order.Target
	if t.useTarget(s, key) {
		return func(v string) bool { return v == target }
	}
	base := t.baseVersion(name, s)
	if base == "" || (t.endpointCounts[name][base] == 0 && base != target) {
		return func(v string) bool { return v != target }
	}
	return func(v string) bool { return v == base }
}

// baseVersion is the version that requests run on which do not go to the target; empty if it
// is not known. Any other than the target's would be wrong: while one order follows
// another, endpoints of a version that was rolled back are still there.
func (t *Tracker) baseVersion(name string, s *serviceUpgrade) string {
	switch {
	case s.hasBegun():
		return s.progress.Base
	case s.row.Version != 0 && s.progress.Outcome == OutcomeCompleted:
		return s.progress.Target
	case s.row.Version != 0 && s.progress.Base != "":
		return s.progress.Base
	case t.initialVersions[name] != s.order.Target:
		return t.initialVersions[name]
	default:
		return ""
	}
}

// keyScale brings a key's upper bits to a part of 1.
const keyScale = 1 << 53

// useTarget reports whether a key goes to the target version now.
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
