package fleet

import (
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// Loan is a part of an endpoint's limit that this host may use.
type Loan struct {
	Requests int
	Until    clock.Instant
	RetryAt  clock.Instant // when more may be asked for
}

// LoanRequest is what this host would borrow of an endpoint's limit.
type LoanRequest struct {
	Requests int // 0 where only the limit's end is told
	Update   LimitUpdate
}

// wantedFor is how long a request that has found nothing to borrow counts; one that waits asks again
// before.
const wantedFor = 600 * time.Millisecond

// inHand is how many requests may be sent now.
func (l *limitation) inHand(now clock.Instant) int {
	n := 0
	for len(l.loans) > 0 && (l.loans[0].Requests == 0 || !now.Before(l.loans[0].Until)) {
		l.loans = l.loans[1:]
	}
	for _, loan := range l.loans {
		n += loan.Requests
	}
	return n
}

// stillLent lists the endpoints but one of which something is in hand; the caller holds mu.
func (f *Fleet) stillLent(but *member) []*member {
	now := f.options.Now()
	return slices.DeleteFunc(f.lent, func(m *member) bool {
		return m == but || m.limited == nil || m.limited.inHand(now) == 0
	})
}

// take uses a part of what is in hand.
func (l *limitation) take(now clock.Instant) {
	if l.inHand(now) > 0 {
		l.loans[0].Requests--
		l.used++
	}
}

// OnLoanNeeded has a function told that there is something to borrow. Without one no limit is kept: who
// calls it lends.
func (f *Fleet) OnLoanNeeded(wanted func()) { f.wanted = wanted }

// want notes that a request would go to an endpoint but for its limit, or that there is news of it.
func (f *Fleet) want(m *member, now clock.Instant) {
	if f.wanted == nil {
		return
	}
	if m.limited.holds() {
		m.limited.wanted++
		m.limited.wantedAt = now
	}
	f.wanting[m.ID] = m
	f.wanted()
}

// LoanRequests returns what is to be borrowed now; each is to be followed by a call of Lent. Next is when
// to look again, zero if nothing is known to come.
func (f *Fleet) LoanRequests() (list []LoanRequest, next clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	for id, m := range f.wanting {
		l := m.limited
		switch {
		case l.asking:
		case !l.holds() && !l.untold, l.holds() && now.Sub(l.wantedAt) > wantedFor:
			l.wanted, l.used = 0, 0
			delete(f.wanting, id)
		case now.Before(l.again):
			if next.IsZero() || l.again.Before(next) {
				next = l.again
			}
		default:
			want := LoanRequest{Update: l.news(id)}
			if l.holds() {
				want.Requests = max(1, l.wanted+l.used-l.inHand(now))
			}
			l.asking, l.untold, l.wanted, l.used = true, false, 0, 0
			delete(f.wanting, id)
			list = append(list, want)
		}
	}
	return list, next
}

// FinishLoan takes in what came of a question.
func (f *Fleet) FinishLoan(id string, loan Loan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok || m.limited == nil {
		return
	}
	m.limited.asking, m.limited.again = false, loan.RetryAt
	if loan.Requests > 0 && m.limited.holds() {
		m.limited.loans = append(m.limited.loans, loan)
		f.lent = append(f.stillLent(m), m)
	}
	if _, more := f.wanting[id]; more {
		f.wanted()
	}
}
