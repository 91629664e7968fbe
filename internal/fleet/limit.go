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
	// minLimit is what an endpoint gets at least that names a smaller limit, 0 included, in
	// requests a second: without any request nobody would hear that its limit has ended.
	minLimit = 0.1
	// limitUpdateTTL is how old news of a limit may be that hosts tell each other.
	limitUpdateTTL = 10 * time.Second
	// limitChangeFactor is by how much a limit differs from what was told of it before it is told again.
	limitChangeFactor = 1.25
)

// limitState is what is known of the limit of an endpoint, and what this host may send there.
type limitState struct {
	rate          float64       // requests a second; 0 once the endpoint names none any more
	since         clock.Instant // when the limit was first heard of
	confirmedAt   clock.Instant // when an answer last told
	endUntold     bool          // its end was heard by this host, and who lends of it may not know
	announcedRate float64       // the rate when all were last told

	loans      []Loan
	loansUsed  int           // loans since the last question
	unmet      int           // requests that have found none since
	unmetAt    clock.Instant // the last of them
	requesting bool
	retryAt    clock.Instant // no question before
}

// active reports whether an endpoint has a limit now.
func (l *limitState) active() bool { return l != nil && l.rate > 0 }

func (l *limitState) update(endpoint string) LimitUpdate {
	return LimitUpdate{Endpoint: endpoint, Rate: l.rate, Since: l.since, ConfirmedAt: l.confirmedAt}
}

// apply takes in what an answer, or another host, tells.
func (l *limitState) apply(n LimitUpdate) {
	switch {
	case n.Rate == 0:
		l.loans, l.unmet, l.loansUsed = nil, 0, 0
	case l.rate == 0:
		l.since, l.endUntold = n.Since, false
	}
	l.rate, l.confirmedAt = n.Rate, n.ConfirmedAt
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
	if m.limit != nil {
		before = m.limit.rate
	}
	switch {
	case l.Present:
		f.applyLimit(m, LimitUpdate{Rate: max(l.Rate, minLimit), Since: now, ConfirmedAt: now})
	case before > 0 && l.Malformed == "" && sent.After(m.limit.confirmedAt):
		f.applyLimit(m, LimitUpdate{ConfirmedAt: now})
		m.limit.endUntold = true
		f.needLoan(m, now)
	}
	if m.limit != nil {
		after = m.limit.rate
	}
	return before, after
}

// MergeLimit takes in what another host knows; the latest answer counts.
func (f *Fleet) MergeLimit(n LimitUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[n.Endpoint]
	if !ok || f.options.Now().Sub(n.ConfirmedAt) > limitUpdateTTL || (m.limit != nil && !n.ConfirmedAt.After(m.limit.confirmedAt)) {
		return
	}
	if n.Rate > 0 || m.limit != nil {
		f.applyLimit(m, n)
	}
}

// applyLimit takes in the latest news of an endpoint's applyLimit; the caller holds mu.
func (f *Fleet) applyLimit(m *member, n LimitUpdate) {
	if m.limit == nil {
		m.limit = &limitState{}
		f.limits[m.ID] = m
	}
	m.limit.apply(n)
	if m.limit.shouldAnnounce() && f.onLoanNeeded != nil {
		m.limit.announcedRate = n.Rate
		f.changedLimits[m.ID] = m
		f.onLoanNeeded()
	}
}

// shouldAnnounce reports whether the limit is so unlike what was told of it that all are told again.
func (l *limitState) shouldAnnounce() bool {
	return (l.rate == 0) != (l.announcedRate == 0) || l.rate > limitChangeFactor*l.announcedRate || l.announcedRate > limitChangeFactor*l.rate
}

// TakeLimitUpdates returns limits of which all hosts are to be told, since they have begun, ended or changed;
// each once, and no more than some at a time.
func (f *Fleet) TakeLimitUpdates(most int) []LimitUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []LimitUpdate
	for id, m := range f.changedLimits {
		if len(list) == most {
			f.onLoanNeeded()
			break
		}
		delete(f.changedLimits, id)
		list = append(list, m.limit.update(id))
	}
	return list
}

// dropLimit drops what is known of a member's limit.
func (f *Fleet) dropLimit(m *member) {
	m.limit = nil
	delete(f.limits, m.ID)
	delete(f.needLoans, m.ID)
	delete(f.changedLimits, m.ID)
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
		switch old := now.Sub(m.limit.confirmedAt) > limitUpdateTTL; {
		case old && !m.limit.active():
			f.dropLimit(m)
		case !old && len(list) < most:
			list = append(list, m.limit.update(id))
		}
	}
	return list
}
