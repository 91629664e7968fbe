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

// unmetTTL is how long a request that has found nothing to borrow counts; one that waits asks again
// before.
const unmetTTL = 600 * time.Millisecond

// available is how many requests may be sent now.
func (l *limitState) available(now clock.Instant) int {
	n := 0
	for len(l.loans) > 0 && (l.loans[0].Requests == 0 || !now.Before(l.loans[0].Until)) {
		l.loans = l.loans[1:]
	}
	for _, loan := range l.loans {
		n += loan.Requests
	}
	return n
}

// membersWithLoans lists the endpoints but one of which something is in hand; the caller holds mu.
func (f *Fleet) membersWithLoans(except *member) []*member {
	now := f.options.Now()
	return slices.DeleteFunc(f.withLoans, func(m *member) bool {
		return m == except || m.limit == nil || m.limit.available(now) == 0
	})
}

// take uses a part of what is in hand.
func (l *limitState) take(now clock.Instant) {
	if l.available(now) > 0 {
		l.loans[0].Requests--
		l.loansUsed++
	}
}

// OnLoanNeeded has a function told that there is something to borrow. Without one no limit is kept: who
// calls it lends.
func (f *Fleet) OnLoanNeeded(wanted func()) { f.onLoanNeeded = wanted }

// needLoan notes that a request would go to an endpoint but for its limit, or that there is news of it.
func (f *Fleet) needLoan(m *member, now clock.Instant) {
	if f.onLoanNeeded == nil {
		return
	}
	if m.limit.active() {
		m.limit.unmet++
		m.limit.unmetAt = now
	}
	f.needLoans[m.ID] = m
	f.onLoanNeeded()
}

// LoanRequests returns what is to be borrowed now; each is to be followed by a call of Lent. Next is when
// to look again, zero if nothing is known to come.
func (f *Fleet) LoanRequests() (list []LoanRequest, next clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	for id, m := range f.needLoans {
		l := m.limit
		switch {
		case l.requesting:
		case !l.active() && !l.endUntold, l.active() && now.Sub(l.unmetAt) > unmetTTL:
			l.unmet, l.loansUsed = 0, 0
			delete(f.needLoans, id)
		case now.Before(l.retryAt):
			if next.IsZero() || l.retryAt.Before(next) {
				next = l.retryAt
			}
		default:
			want := LoanRequest{Update: l.update(id)}
			if l.active() {
				want.Requests = max(1, l.unmet+l.loansUsed-l.available(now))
			}
			l.requesting, l.endUntold, l.unmet, l.loansUsed = true, false, 0, 0
			delete(f.needLoans, id)
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
	if !ok || m.limit == nil {
		return
	}
	m.limit.requesting, m.limit.retryAt = false, loan.RetryAt
	if loan.Requests > 0 && m.limit.active() {
		m.limit.loans = append(m.limit.loans, loan)
		f.withLoans = append(f.membersWithLoans(m), m)
	}
	if _, more := f.needLoans[id]; more {
		f.onLoanNeeded()
	}
}
