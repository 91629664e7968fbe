package fleet

import (
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// awaited is a request at an endpoint whose answer has not begun.
type awaited struct {
	ticket    int64
	sent      clock.Instant
	due       clock.Instant // when the head was expected
	rank      int           // of its urgency
	work      time.Duration // of reading its prompt
	overtaken bool          // the answer to one that was sent later has begun
}

// maxAwait bounds how long the head of an answer counts as outstanding; callers
// wait 20 seconds at most.
const maxAwait = 20 * time.Second

// await notes a request of which the head is awaited, and returns its ticket.
func (f *Fleet) await(m *member, expected Expectation, urgency int, now clock.Instant) int64 {
	f.lastTicket++
	a := awaited{ticket: f.lastTicket, sent: now, due: now.Add(expected.Head), rank: rank(urgency), work: expected.PrefillTime}
	m.prefillUntil = now.Add(m.prefillWait(UrgencyLeast, now) + a.work)
	m.ensureQueue().backlog.add(a.rank, 1, a.work)
	m.awaiting = append(m.awaiting, a)
	return f.lastTicket
}

// answered takes in the head of an answer. Requests that were sent before it say no more
// of the endpoint: it answers, if not these.
func (m *member) answered(ticket int64) {
	i := slices.IndexFunc(m.awaiting, func(a awaited) bool { return a.ticket == ticket })
	for before := range max(i, 0) {
		m.awaiting[before].overtaken = true
	}
	m.stopAwaiting(ticket)
}

// stopAwaiting takes in that the head of an answer is there, or will not come.
func (m *member) stopAwaiting(ticket int64) {
	m.dropAwaited(func(a awaited) bool { return a.ticket == ticket })
}

func (m *member) dropAwaited(drop func(awaited) bool) {
	m.awaiting = slices.DeleteFunc(m.awaiting, func(a awaited) bool {
		if !drop(a) {
			return false
		}
		m.ensureQueue().backlog.add(a.rank, -1, -a.work)
		return true
	})
}

// overdue is for how long an endpoint has not begun an answer that was expected, and
// none that was sent after it either: one that has fallen silent, or has far more to do
// than is known. What comes next waits at least so long on average.
func (m *member) overdue(now clock.Instant) time.Duration {
	if len(m.awaiting) > 0 && now.Sub(m.awaiting[0].sent) > maxAwait {
		m.dropAwaited(func(a awaited) bool { return now.Sub(a.sent) > maxAwait })
	}
	for _, a := range m.awaiting {
		if !a.overtaken {
			return max(0, now.Sub(a.due))
		}
	}
	return 0
}
