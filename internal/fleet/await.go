package fleet

import (
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// awaited is a request at an endpoint whose answer has not begun.
type awaited struct {
	ticket int64
	sent   clock.Instant
	due    clock.Instant // when the head was expected
	rank   int           // of its urgency
	work   time.Duration // of reading its prompt
	passed bool          // the answer to one that was sent later has begun
}

// awaitedFor bounds how long the head of an answer counts as outstanding; callers
// wait 20 seconds at most.
const awaitedFor = 20 * time.Second

// await notes a request of which the head is awaited, and returns its ticket.
func (f *Fleet) await(m *member, expected Expectation, urgency int, now clock.Instant) int64 {
	f.tickets++
	a := awaited{ticket: f.tickets, sent: now, due: now.Add(expected.Head), rank: rank(urgency), work: expected.PrefillTime}
	m.booked = now.Add(m.readsFor(UrgencyLeast, now) + a.work)
	m.deals().backlog.add(a.rank, 1, a.work)
	m.awaiting = append(m.awaiting, a)
	return f.tickets
}

// begun takes in the head of an answer. Requests that were sent before it say no more
// of the endpoint: it answers, if not these.
func (m *member) begun(ticket int64) {
	i := slices.IndexFunc(m.awaiting, func(a awaited) bool { return a.ticket == ticket })
	for before := range max(i, 0) {
		m.awaiting[before].passed = true
	}
	m.forgo(ticket)
}

// forgo takes in that the head of an answer is there, or will not come.
func (m *member) forgo(ticket int64) {
	m.dropAwaited(func(a awaited) bool { return a.ticket == ticket })
}

func (m *member) dropAwaited(drop func(awaited) bool) {
	m.awaiting = slices.DeleteFunc(m.awaiting, func(a awaited) bool {
		if !drop(a) {
			return false
		}
		m.deals().backlog.add(a.rank, -1, -a.work)
		return true
	})
}

// overdue is for how long an endpoint has not begun an answer that was expected, and
// none that was sent after it either: one that has fallen silent, or has far more to do
// than is known. What comes next waits at least so long on average.
func (m *member) overdue(now clock.Instant) time.Duration {
	if len(m.awaiting) > 0 && now.Sub(m.awaiting[0].sent) > awaitedFor {
		m.dropAwaited(func(a awaited) bool { return now.Sub(a.sent) > awaitedFor })
	}
	for _, a := range m.awaiting {
		if !a.passed {
			return max(0, now.Sub(a.due))
		}
	}
	return 0
}
