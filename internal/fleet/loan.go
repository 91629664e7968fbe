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
	RetryAt  clock.Instant // when the next loan may be requested
}

// LoanRequest is a request to borrow a part of an endpoint's limit.
type LoanRequest struct {
	Requests int // 0 if the request only reports the limit's end
	Update   LimitUpdate
}

// unmetTTL is how long a request that found no loan counts; a waiting request asks again sooner.
const unmetTTL = 600 * time.Millisecond

// available returns how many requests may be sent now.
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

// membersWithLoans lists the endpoints with available loans, except one; the caller holds mu.
func (f *Fleet) membersWithLoans(except *member) []*member {
	now := f.options.Now()
	return slices.DeleteFunc(f.withLoans, func(m *member) bool {
		return m == except || m.limit == nil || m.limit.available(now) == 0
	})
}

// take uses one request of the available loans, and returns until when it may be sent; zero if there is
// no loan.
func (l *limitState) take(now clock.Instant) clock.Instant {
	if l.available(now) == 0 {
		return clock.Instant{}
	}
	l.loans[0].Requests--
	l.loansUsed++
	return l.loans[0].Until
}

// giveBackLoan returns a request that was taken from a loan and not sent; the caller holds mu.
func (f *Fleet) giveBackLoan(m *member, until, now clock.Instant) {
	if !m.limit.active() || !now.Before(until) {
		return
	}
	m.limit.loans = append(m.limit.loans, Loan{Requests: 1, Until: until})
	m.limit.loansUsed = max(m.limit.loansUsed-1, 0)
	f.withLoans = append(f.membersWithLoans(m), m)
}

// OnLoanNeeded sets a function that is called when loans are to be requested or other hosts are to be
// told something. Without it limits are not enforced: the caller of OnLoanNeeded handles the lending.
func (f *Fleet) OnLoanNeeded(notify func()) { f.onLoanNeeded = notify }

// needLoan records that a request would go to an endpoint but for its limit, or that a change of
// the limit is to be reported.
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

// LoanRequests returns the loans to request now; each must be followed by a call of FinishLoan. The
// result next is when to look again, zero if no time is known.
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
			request := LoanRequest{Update: l.update(id)}
			if l.active() {
				request.Requests = max(1, l.unmet+l.loansUsed-l.available(now))
			}
			l.requesting, l.endUntold, l.unmet, l.loansUsed = true, false, 0, 0
			delete(f.needLoans, id)
			list = append(list, request)
		}
	}
	return list, next
}

// FinishLoan records the reply to a loan request.
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
