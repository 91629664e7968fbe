package upgrade

// SetVersions records how many endpoints a service has of each version. Endpoints of a new version
// get no requests until an order names it.
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

// Allowed returns a predicate for the versions that a request with the given key may run on; nil
// allows any version.
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

// baseVersion returns the version that serves the requests that do not go to the target, or "" if
// it is unknown. It names exactly one version because endpoints of a version that was rolled back
// are still present while the next order runs, and must get no requests.
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
