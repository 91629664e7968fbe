package fleet

import (
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
)

// retryLaterScore puts endpoints of which no loan may be requested yet after all others.
const retryLaterScore = 1e6

// limitScan collects what a choice has found of endpoints that announce limits.
type limitScan struct {
	skipped      *member       // best endpoint that was skipped for lack of a loan; nil if there is none
	skippedScore float64       // of skipped
	anyLimited   bool          // some endpoint announces a limit
	available    int           // requests that this host may send now to endpoints with limits
	nextLoan     clock.Instant // earliest time at which a loan of any of them may be requested
	anyUnlimited bool          // some usable endpoint announces no limit and is not ejected
}

// consider records an endpoint with its score and reports whether it takes a request.
func (l *limitScan) consider(m *member, score float64, now clock.Instant) bool {
	if !m.limit.active() {
		l.anyUnlimited = l.anyUnlimited || !m.ejected(now)
		return true
	}
	n := m.limit.available(now)
	if again := later(m.limit.retryAt, now); !l.anyLimited || again.Before(l.nextLoan) {
		l.nextLoan = again
	}
	l.anyLimited = true
	l.available += n
	if m.limit.requesting || now.Before(m.limit.retryAt) {
		score += retryLaterScore
	}
	if n == 0 && (l.skipped == nil || score < l.skippedScore) {
		l.skipped, l.skippedScore = m, score
	}
	return n > 0
}

// enforcesLimit reports whether the limit of an endpoint is enforced.
func (f *Fleet) enforcesLimit(m *member) bool { return m.limit != nil && f.onLoanNeeded != nil }

// borrowForSkipped requests a loan of the skipped endpoint's limit if that endpoint is better than
// the chosen one.
func (f *Fleet) borrowForSkipped(c choice) {
	if c.limits.skipped != nil && (c.member == nil || c.limits.skippedScore < c.score) {
		f.needLoan(c.limits.skipped, c.now)
	}
}

// decideLimited decides on a request if all endpoints that it may use announce limits. If no loan is
// available, or if other waiting requests go first, the request waits for its turn or is refused.
func (f *Fleet) decideLimited(p placement) placement {
	if p.limits.anyUnlimited || !p.limits.anyLimited || (p.member != nil && p.req.MaxLimitWait == 0) {
		return p
	}
	waiting := f.waitingListOf(p.req.Service)
	sentAt, order := p.now.Add(-p.req.Waited), p.order()
	ahead, aheadWait := waiting.Ahead(p.req.Turn, order, sentAt, p.now)
	if p.member != nil && ahead < p.limits.available {
		waiting.Granted(p.req.Turn, p.now)
		p.granted = true
		return p
	}
	p.member = nil
	if p.req.MaxLimitWait == 0 {
		return p
	}
	turn := max(aheadWait, p.limits.nextLoan.Sub(p.now))
	switch d := admission.DecideRateLimited(turn, p.req.MaxLimitWait, p.req.Turn != 0).(type) {
	case admission.Wait:
		d.Turn = waiting.Wait(p.req.Turn, order, sentAt, p.now, d.For)
		p.decision = d
		if d.Turn == 0 {
			p.decision = admission.Refuse{After: turn}
		}
	default:
		waiting.Remove(p.req.Turn)
		p.decision = d
	}
	return p
}

// LimitStatus is a host's knowledge of an endpoint's limit, for operators.
type LimitStatus struct {
	Rate      float64 // requests a second; 0 if the endpoint announces no limit
	Since     time.Duration
	Available int // requests that this host may send there now
	Unmet     int // requests that have recently found no loan
}

// limitStatus returns the status of a member's limit.
func (m *member) limitStatus(now clock.Instant) LimitStatus {
	if !m.limit.active() {
		return LimitStatus{}
	}
	return LimitStatus{Rate: m.limit.rate, Since: now.Sub(m.limit.since), Available: m.limit.available(now), Unmet: m.limit.unmet}
}

// LimitedCount returns the number of endpoints that announce limits.
func (f *Fleet) LimitedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.limits {
		if m.limit.active() {
			n++
		}
	}
	return n
}
