package fleet

import (
	"time"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
)

// laterScore puts endpoints of which nothing can be borrowed yet after all others.
const laterScore = 1e6

// limits are what a choice has seen of endpoints that name limits.
type limits struct {
	passed *member       // the best one that was passed over since nothing of its limit is in hand; nil for none
	score  float64       // its own
	some   bool          // there are such
	inHand int           // requests that this host may send there now
	next   clock.Instant // when something of the first of them can be borrowed
	open   bool          // some endpoint that may be used names none, and is not ejected
}

// takes notes an endpoint of a score and reports whether it takes a request.
func (l *limits) takes(m *member, score float64, now clock.Instant) bool {
	if !m.limited.holds() {
		l.open = l.open || !m.ejected(now)
		return true
	}
	n := m.limited.inHand(now)
	if again := later(m.limited.again, now); !l.some || again.Before(l.next) {
		l.next = again
	}
	l.some = true
	l.inHand += n
	if m.limited.asking || now.Before(m.limited.again) {
		score += laterScore
	}
	if n == 0 && (l.passed == nil || score < l.score) {
		l.passed, l.score = m, score
	}
	return n > 0
}

// limited reports whether an endpoint's limit is kept.
func (f *Fleet) limited(m *member) bool { return m.limited != nil && f.wanted != nil }

// borrow has a part of the limit asked for of an endpoint that was passed over, if it is better than
// the one that is chosen.
func (f *Fleet) borrow(c choice) {
	if c.limits.passed != nil && (c.member == nil || c.limits.score < c.score) {
		f.want(c.limits.passed, c.now)
	}
}

// ration decides on a request while all endpoints that it may use name limits: with none of them in
// hand, or with others that wait and go before it, it waits for its turn or is refused.
func (f *Fleet) ration(p placement) placement {
	if p.limits.open || !p.limits.some || (p.member != nil && p.ask.MaxLimitWait == 0) {
		return p
	}
	turns := f.turnsOf(p.ask.Service)
	asked, urgency := p.now.Add(-p.ask.Waited), rank(p.urgency)
	ahead, by := turns.Ahead(p.ask.Turn, urgency, asked, p.now)
	if p.member != nil && ahead < p.limits.inHand {
		turns.Granted(p.ask.Turn, p.now)
		return p
	}
	p.member = nil
	if p.ask.MaxLimitWait == 0 {
		return p
	}
	turn := max(by, p.limits.next.Sub(p.now))
	switch d := admission.Ration(turn, p.ask.MaxLimitWait, p.ask.Turn != 0).(type) {
	case admission.Wait:
		d.Turn = turns.Wait(p.ask.Turn, urgency, asked, p.now, d.For)
		p.decision = d
		if d.Turn == 0 {
			p.decision = admission.Refuse{After: turn}
		}
	default:
		turns.Leave(p.ask.Turn)
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
	if !m.limited.holds() {
		return LimitStatus{}
	}
	return LimitStatus{Rate: m.limited.rate, Since: now.Sub(m.limited.since), Available: m.limited.inHand(now), Unmet: m.limited.wanted}
}

// LimitedCount counts the endpoints that name limits.
func (f *Fleet) LimitedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.limits {
		if m.limited.holds() {
			n++
		}
	}
	return n
}
