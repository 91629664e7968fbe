package fleet

import (
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

// awaited is a request at an endpoint whose response head has not arrived.
type awaited struct {
	ticket    int64
	sent      clock.Instant
	due       clock.Instant // when the response head was expected
	rank      int           // of its urgency
	work      time.Duration // of prefilling its prompt
	overtaken bool          // the response to a request that was sent later has begun
}

// maxAwait bounds how long a response head counts as outstanding; callers wait 20 seconds at most.
const maxAwait = 20 * time.Second

// await records a request whose response head is awaited, and returns its ticket.
func (f *Fleet) await(m *member, expected Expectation, urgency int, now clock.Instant) int64 {
	f.lastTicket++
	a := awaited{ticket: f.lastTicket, sent: now, due: now.Add(expected.Head), rank: rank(urgency), work: expected.PrefillTime}
	m.prefillUntil = now.Add(m.prefillWait(UrgencyLeast, now) + a.work)
	m.ensureQueue().backlog.add(a.rank, 1, a.work)
	m.awaiting = append(m.awaiting, a)
	return f.lastTicket
}

// answered records a response head. Requests that were sent before this one no longer indicate that
// the endpoint is stuck: it responds, if not to these.
func (m *member) answered(ticket int64) {
	i := slices.IndexFunc(m.awaiting, func(a awaited) bool { return a.ticket == ticket })
	for before := range max(i, 0) {
		m.awaiting[before].overtaken = true
	}
	m.stopAwaiting(ticket)
}

// stopAwaiting removes a request whose response head has arrived or will not arrive.
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

// overdue returns for how long an endpoint has neither begun a response that was expected nor any
// to a request that was sent after it. Such an endpoint has stopped responding, or has far more
// work than is known. The next request waits at least that long on average.
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
