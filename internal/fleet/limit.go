package fleet

import (
	"time"

	"quaybarrow/internal/clock"
)

// Limit is what an answer says of how many requests its endpoint takes from all hosts together.
type Limit struct {
	Present   bool    // false where it takes what comes
	Rate      float64 // requests a second
	Malformed string  // the beginning of what it says instead, if that can't be read
}

// LimitUpdate is what a host knows of an endpoint's limit, to be told to others. An immutable value.
type LimitUpdate struct {
	Endpoint    string        // its id
	Rate        float64       // requests a second; 0 once the endpoint names none any more
	Since       clock.Instant // when it was first heard of
	ConfirmedAt clock.Instant // when an answer last told
}

// NewLimitUpdate returns news of so long ago, as messages between hosts tell it.
func NewLimitUpdate(endpoint string, rate float64, heard, since time.Duration, now clock.Instant) LimitUpdate {
	return LimitUpdate{Endpoint: endpoint, Rate: rate, ConfirmedAt: now.Add(-heard), Since: now.Add(-since)}
}

// Ages are how long ago an answer last told, and the limit was first heard of.
func (n LimitUpdate) Ages(now clock.Instant) (heard, since time.Duration) {
	return now.Sub(n.ConfirmedAt), now.Sub(n.Since)
}

// Bounds of what is known of limits.
const (
	// limitLeast is what an endpoint gets at least that names a smaller limit, 0 included, in
	// requests a second: without any request nobody would hear that its limit has ended.
	limitLeast = 0.1
	// newsLife is how old news of a limit may be that hosts tell each other.
	newsLife = 10 * time.Second
	// newsFactor is by how much a limit differs from what was told of it before it is told again.
	newsFactor = 1.25
)

// limitation is what is known of the limit of an endpoint, and what this host may send there.
type limitation struct {
	rate   float64       // requests a second; 0 once the endpoint names none any more
	since  clock.Instant // when the limit was first heard of
	heard  clock.Instant // when an answer last told
	untold bool          // its end was heard by this host, and who lends of it may not know
	told   float64       // the rate when all were last told

	loans    []Loan
	used     int           // loans since the last question
	wanted   int           // requests that have found none since
	wantedAt clock.Instant // the last of them
	asking   bool
	again    clock.Instant // no question before
}

// holds reports whether an endpoint has a limit now.
func (l *limitation) holds() bool { return l != nil && l.rate > 0 }

func (l *limitation) news(endpoint string) LimitUpdate {
	return LimitUpdate{Endpoint: endpoint, Rate: l.rate, Since: l.since, ConfirmedAt: l.heard}
}

// hear takes in what an answer, or another host, tells.
func (l *limitation) hear(n LimitUpdate) {
	switch {
	case n.Rate == 0:
		l.loans, l.wanted, l.used = nil, 0, 0
	case l.rate == 0:
		l.since, l.untold = n.Since, false
	}
	l.rate, l.heard = n.Rate, n.ConfirmedAt
}

// ObserveLimit takes in what an answer to a request of this host says of the endpoint's limit, and
// returns what was known before and is known now; 0 stands for none. Only the answer to a request
// that was sent after the limit was last heard of tells that it has ended: an older one may have
// been made before.
func (f *Fleet) ObserveLimit(id string, l Limit, sent clock.Instant) (before, after float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return 0, 0
	}
	now := f.options.Now()
	if m.limited != nil {
		before = m.limited.rate
	}
	switch {
	case l.Present:
		f.limit(m, LimitUpdate{Rate: max(l.Rate, limitLeast), Since: now, ConfirmedAt: now})
	case before > 0 && l.Malformed == "" && sent.After(m.limited.heard):
		f.limit(m, LimitUpdate{ConfirmedAt: now})
		m.limited.untold = true
		f.want(m, now)
	}
	if m.limited != nil {
		after = m.limited.rate
	}
	return before, after
}

// MergeLimit takes in what another host knows; the latest answer counts.
func (f *Fleet) MergeLimit(n LimitUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[n.Endpoint]
	if !ok || f.options.Now().Sub(n.ConfirmedAt) > newsLife || (m.limited != nil && !n.ConfirmedAt.After(m.limited.heard)) {
		return
	}
	if n.Rate > 0 || m.limited != nil {
		f.limit(m, n)
	}
}

// limit takes in the latest news of an endpoint's limit; the caller holds mu.
func (f *Fleet) limit(m *member, n LimitUpdate) {
	if m.limited == nil {
		m.limited = &limitation{}
		f.limits[m.ID] = m
	}
	m.limited.hear(n)
	if m.limited.spreads() && f.wanted != nil {
		m.limited.told = n.Rate
		f.news[m.ID] = m
		f.wanted()
	}
}

// spreads reports whether the limit is so unlike what was told of it that all are told again.
func (l *limitation) spreads() bool {
	return (l.rate == 0) != (l.told == 0) || l.rate > newsFactor*l.told || l.told > newsFactor*l.rate
}

// TakeLimitUpdates returns limits of which all hosts are to be told, since they have begun, ended or changed;
// each once, and no more than some at a time.
func (f *Fleet) TakeLimitUpdates(most int) []LimitUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []LimitUpdate
	for id, m := range f.news {
		if len(list) == most {
			f.wanted()
			break
		}
		delete(f.news, id)
		list = append(list, m.limited.news(id))
	}
	return list
}

// unlimit drops what is known of a member's limit.
func (f *Fleet) unlimit(m *member) {
	m.limited = nil
	delete(f.limits, m.ID)
	delete(f.wanting, m.ID)
	delete(f.news, m.ID)
}

// LimitUpdates lists some of what this host knows of limits, to be told to another host.
func (f *Fleet) LimitUpdates(most int) []LimitUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.limits) == 0 {
		return nil
	}
	now := f.options.Now()
	var list []LimitUpdate
	for id, m := range f.limits { // in an order that changes
		switch old := now.Sub(m.limited.heard) > newsLife; {
		case old && !m.limited.holds():
			f.unlimit(m)
		case !old && len(list) < most:
			list = append(list, m.limited.news(id))
		}
	}
	return list
}
