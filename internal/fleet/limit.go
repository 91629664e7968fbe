package fleet

import (
	"time"

	"quaybarrow/internal/clock"
)

// Limit is the rate limit that an endpoint announces in a response: how many requests it takes from
// all hosts together.
type Limit struct {
	Named  bool    // false if the endpoint takes any number of requests
	Rate   float64 // requests a second
	Unread string  // the beginning of the limit's text if it can't be parsed
}

// LimitUpdate is a host's knowledge of an endpoint's limit, to be sent to other hosts. It is
// immutable.
type LimitUpdate struct {
	Endpoint    string        // its ID
	Rate        float64       // requests a second; 0 once the endpoint announces no limit any more
	Since       clock.Instant // when the limit was first observed
	ConfirmedAt clock.Instant // when a response last announced it
}

// NewLimitUpdate returns an update from ages, which messages between hosts contain instead of
// times.
func NewLimitUpdate(endpoint string, rate float64, confirmedAgo, sinceAgo time.Duration, now clock.Instant) LimitUpdate {
	return LimitUpdate{Endpoint: endpoint, Rate: rate, ConfirmedAt: now.Add(-confirmedAgo), Since: now.Add(-sinceAgo)}
}

// Ages returns how long ago a response last announced the limit, and how long ago it was first
// observed.
func (n LimitUpdate) Ages(now clock.Instant) (confirmedAgo, sinceAgo time.Duration) {
	return now.Sub(n.ConfirmedAt), now.Sub(n.Since)
}

// Bounds of what is known of limits.
const (
	// minLimit is the least rate in requests a second that an endpoint gets if it announces a smaller
	// limit, 0 included: without any request no host would learn that the limit has ended.
	minLimit = 0.1
	// limitUpdateTTL is the largest age of updates that hosts send to each other.
	limitUpdateTTL = 10 * time.Second
	// limitChangeFactor is the factor by which a limit differs from the published one before it is
	// published again.
	limitChangeFactor = 1.25
)

// limitState is what is known of the limit of an endpoint, and what this host may send there.
type limitState struct {
	rate          float64       // requests a second; 0 once the endpoint announces no limit any more
	since         clock.Instant // when the limit was first observed
	confirmedAt   clock.Instant // when a response last announced it
	endUntold     bool          // this host observed the limit's end, which the lender may not know
	publishedRate float64       // rate that this host last published to all hosts

	loans      []Loan
	loansUsed  int           // requests sent on loans since the last loan request
	unmet      int           // requests that have found no loan since the last loan request
	unmetAt    clock.Instant // when the last of them came
	requesting bool
	retryAt    clock.Instant // no loan request before then
}

// active reports whether an endpoint has a limit now.
func (l *limitState) active() bool { return l != nil && l.rate > 0 }

func (l *limitState) update(endpoint string) LimitUpdate {
	return LimitUpdate{Endpoint: endpoint, Rate: l.rate, Since: l.since, ConfirmedAt: l.confirmedAt}
}

// apply applies a limit from a response or from another host.
func (l *limitState) apply(n LimitUpdate) {
	switch {
	case n.Rate == 0:
		l.loans, l.unmet, l.loansUsed = nil, 0, 0
	case l.rate == 0:
		l.since, l.endUntold = n.Since, false
	}
	l.rate, l.confirmedAt = n.Rate, n.ConfirmedAt
}

// ObserveLimit records the limit in a response to a request of this host, and returns the rates
// known before and after; 0 means no limit. A response without a limit ends it only if its request
// was sent after the limit was last confirmed: an older response may have been made before the
// limit began.
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
	case l.Named:
		f.applyLimit(m, LimitUpdate{Rate: max(l.Rate, minLimit), Since: now, ConfirmedAt: now})
	case before > 0 && l.Unread == "" && sent.After(m.limit.confirmedAt):
		f.applyLimit(m, LimitUpdate{ConfirmedAt: now})
		m.limit.endUntold = true
		f.needLoan(m, now)
	}
	if m.limit != nil {
		after = m.limit.rate
	}
	return before, after
}

// MergeLimit applies an update of another host; the latest response counts.
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

// applyLimit applies the latest update of an endpoint's limit; the caller holds mu.
func (f *Fleet) applyLimit(m *member, n LimitUpdate) {
	if m.limit == nil {
		m.limit = &limitState{}
		f.limits[m.ID] = m
	}
	m.limit.apply(n)
	if m.limit.shouldPublish() && f.onLoanNeeded != nil {
		m.limit.publishedRate = n.Rate
		f.changedLimits[m.ID] = m
		f.onLoanNeeded()
	}
}

// shouldPublish reports whether the limit differs so much from the published one that it is
// published to all hosts again.
func (l *limitState) shouldPublish() bool {
	return (l.rate == 0) != (l.publishedRate == 0) || l.rate > limitChangeFactor*l.publishedRate || l.publishedRate > limitChangeFactor*l.rate
}

// TakeLimitUpdates returns limits that have begun, ended or changed, to be published to all hosts.
// It returns each once, and at most a given number per call.
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

// dropLimit removes what is known of a member's limit.
func (f *Fleet) dropLimit(m *member) {
	m.limit = nil
	delete(f.limits, m.ID)
	delete(f.needLoans, m.ID)
	delete(f.changedLimits, m.ID)
}

// LimitUpdates lists some of the limits that this host knows, to be sent to another host.
func (f *Fleet) LimitUpdates(most int) []LimitUpdate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.limits) == 0 {
		return nil
	}
	now := f.options.Now()
	var list []LimitUpdate
	for id, m := range f.limits { // in random order
		switch old := now.Sub(m.limit.confirmedAt) > limitUpdateTTL; {
		case old && !m.limit.active():
			f.dropLimit(m)
		case !old && len(list) < most:
			list = append(list, m.limit.update(id))
		}
	}
	return list
}
