package fleet

import "time"

// PickAt holds a place at an endpoint that was advised; false if it may not be used.
func (f *Fleet) PickAt(id string, ask Ask) (*Hold, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	m, ok := f.members[id]
	if !ok || m.Service != ask.Service || !m.usable(ask) || m.tier(now) > tierWell {
		return nil, false
	}
	return f.hold(m, f.homes(ask, now).unread(m), ask, now), true
}

// Advise chooses an endpoint for another host and counts the request and the reading
// of its prompt there; false if none may be used.
func (f *Fleet) Advise(ask Ask) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.choose(ask)
	m := c.member
	if m == nil {
		return "", false
	}
	work := f.readingOf(ask.Service, ask.Model).tokens(ask.unread(c.homes.unread(m)))
	m.booked = later(m.booked, c.now).Add(work)
	m.advised = append(m.advised, c.now)
	return m.ID, true
}

// Ended takes requests of other hosts out of the count at endpoints.
func (f *Fleet) Ended(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if m, ok := f.members[id]; ok && len(m.advised) > 0 {
			m.advised = m.advised[1:]
		}
	}
}

// advisedFor is how long a request of another host counts if its end is not told;
// nearly all have ended by then.
const advisedFor = 8 * time.Second

// remote counts the requests that other hosts were advised to send here.
func (m *member) remote(now time.Time) int {
	for len(m.advised) > 0 && now.Sub(m.advised[0]) > advisedFor {
		m.advised = m.advised[1:]
	}
	return len(m.advised)
}

// bookedFor is how long an endpoint reads prompts that other hosts were advised to
// send there.
func (m *member) bookedFor(now time.Time) time.Duration { return max(0, m.booked.Sub(now)) }
