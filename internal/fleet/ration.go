package fleet

import (
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
)

// retryLaterScore puts endpoints of which nothing can be borrowed yet after all others.
const retryLaterScore = 1e6

// limitScan are what a choice has seen of endpoints that name limitScan.
type limitScan struct {
	skipped      *member       // the best one that was passed over since nothing of its limit is in hand; nil for none
	skippedScore float64       // its own
	anyLimited   bool          // there are such
	available    int           // requests that this host may send there now
	nextLoan     clock.Instant // when something of the first of them can be borrowed
	anyUnlimited bool          // some endpoint that may be used names none, and is not ejected
}

// consider notes an endpoint of a score and reports whether it consider a request.
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

// enforcesLimit reports whether an endpoint's limit is kept.
func (f *Fleet) enforcesLimit(m *member) bool { return m.limit != nil && f.onLoanNeeded != nil }

// borrowForSkipped has a part of the limit asked for of an endpoint that was passed over, if it is better than
// the one that is chosen.
func (f *Fleet) borrowForSkipped(c choice) {
	if c.limits.skipped != nil && (c.member == nil || c.limits.skippedScore < c.score) {
		f.needLoan(c.limits.skipped, c.now)
	}
}

// decideLimited decides on a request while all endpoints that it may use name limits: with none of them in
// hand, or with others that wait and go before it, it waits for its turn or is refused.
func (f *Fleet) decideLimited(p placement) placement {
	if p.limits.anyUnlimited || !p.limits.anyLimited || (p.member != nil && p.req.MaxLimitWait == 0) {
		return p
	}
	turns := f.turnsOf(p.req.Service)
	asked, urgency := p.now.Add(-p.req.Waited), rank(p.urgency)
	ahead, by := turns.Ahead(p.req.Turn, urgency, asked, p.now)
	if p.member != nil && ahead < p.limits.available {
		turns.Granted(p.req.Turn, p.now)
		return p
	}
	p.member = nil
	if p.req.MaxLimitWait == 0 {
		return p
	}
	turn := max(by, p.limits.nextLoan.Sub(p.now))
	switch d := admission.Ration(turn, p.req.MaxLimitWait, p.req.Turn != 0).(type) {
	case admission.Wait:
		d.Turn = turns.Wait(p.req.Turn, urgency, asked, p.now, d.For)
		p.decision = d
		if d.Turn == 0 {
			p.decision = admission.Refuse{After: turn}
		}
	default:
		turns.Leave(p.req.Turn)
		p.decision = d
	}
	return p
}

// LimitStatus is what a host knows of an endpoint's limit, for operators.
type LimitStatus struct {
	Rate      float64 // requests a second; 0 where it names none
	Since     time.Duration
	Available int // requests that this host may send there now
	Unmet     int // requests that have lately found none
}

// limitStatus tells operators of a member's limit.
func (m *member) limitStatus(now clock.Instant) LimitStatus {
	if !m.limit.active() {
		return LimitStatus{}
	}
	return LimitStatus{Rate: m.limit.rate, Since: now.Sub(m.limit.since), Available: m.limit.available(now), Unmet: m.limit.unmet}
}

// LimitedCount counts the endpoints that name limits.
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
