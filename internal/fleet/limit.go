package fleet

import "quaybarrow/internal/clock"

// Limit is what an answer says of how many requests its endpoint takes from all hosts together.
type Limit struct {
	Named  bool    // false where it takes what comes
	Rate   float64 // requests a second
	Unread string  // the beginning of what it says instead, if that can't be read
}

// limitLeast is what an endpoint gets at least that names a smaller limit, 0 included, in requests a
// second: without any request nobody would hear that its limit has ended.
const limitLeast = 0.1

// limitation is what is known of the limit of an endpoint that names one.
type limitation struct {
	rate  float64       // requests a second
	since clock.Instant // when it was first heard of
	heard clock.Instant // when an answer last named it
}

// HearLimit takes in what an answer to a request of this host says of the endpoint's limit, and
// returns what was known before and is known now; 0 stands for none. Only the answer to a request
// that was sent after the limit was last heard of tells that it has ended: an older one may have
// been made before.
func (f *Fleet) HearLimit(id string, l Limit, sent clock.Instant) (before, after float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return 0, 0
	}
	now, rate := f.options.Now(), max(l.Rate, limitLeast)
	if m.limited != nil {
		before = m.limited.rate
	}
	switch {
	case l.Named && m.limited == nil:
		m.limited = &limitation{rate: rate, since: now, heard: now}
	case l.Named:
		m.limited.rate, m.limited.heard = rate, now
	case m.limited != nil && l.Unread == "" && sent.After(m.limited.heard):
		m.limited = nil
	}
	if m.limited != nil {
		after = m.limited.rate
	}
	return before, after
}
