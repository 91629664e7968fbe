package upgrade

// SetVersions takes note of a service's versions, so that endpoints of a new one get
// nothing before an order names it.
func (t *Tracker) SetVersions(service string, versions map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed[service] = versions
	if len(versions) == 1 {
		for v := range versions {
			t.settled[service] = v
		}
		return
	}
	if _, ok := t.settled[service]; ok {
		return
	}
	most := ""
	for v, n := range versions {
		if most == "" || n > versions[most] || (n == versions[most] && v < most) {
			most = v
		}
	}
	if most != "" {
		t.settled[service] = most
	}
}

// Allowed returns which versions a request with a key may run on; nil for any.
func (t *Tracker) Allowed(name string, key uint64) func(version string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		settled := t.settled[name]
		if settled == "" {
			return nil
		}
		return func(v string) bool { return v == settled }
	}
	target := s.order.Target
	if t.useTarget(s, key) {
		return func(v string) bool { return v == target }
	}
	inForce := t.inForce(name, s)
	if inForce == "" || (t.listed[name][inForce] == 0 && inForce != target) {
		return func(v string) bool { return v != target }
	}
	return func(v string) bool { return v == inForce }
}

// inForce is the version that requests run on which do not go to the target; empty if it
// is not known. Any other than the target's would be wrong: while one order follows
// another, endpoints of a version that was rolled back are still there.
func (t *Tracker) inForce(name string, s *service) string {
	switch {
	case s.begun():
		return s.progress.Base
	case s.row.Version != 0 && s.progress.Outcome == OutcomeCompleted:
		return s.progress.Target
	case s.row.Version != 0 && s.progress.Base != "":
		return s.progress.Base
	case t.settled[name] != s.order.Target:
		return t.settled[name]
	default:
		return ""
	}
}

// keyScale brings a key's upper bits to a part of 1.
const keyScale = 1 << 53

// useTarget reports whether a key goes to the target version now.
func (t *Tracker) useTarget(s *service, key uint64) bool {
	switch {
	case !s.begun():
		return false
	case s.progress.Outcome == OutcomeCompleted:
		return true
	case s.progress.Outcome == OutcomeRolledBack || s.condemned != "":
		return false
	}
	now, ok := t.options.Watch.Now()
	if !ok {
		return false
	}
	return float64(key>>11)/keyScale < s.progress.Share(s.progress.elapsedAt(now), s.schedule)
}
