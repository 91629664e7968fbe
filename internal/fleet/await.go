package fleet

import (
	"slices"
	"time"
)

// awaited is a request at an endpoint whose answer has not begun.
type awaited struct {
	ticket int64
	sent   time.Time
	due    time.Time // when the head was expected
}

// awaitedFor bounds how long the head of an answer counts as outstanding; callers
// wait 20 seconds at most.
const awaitedFor = 20 * time.Second

// await notes a request of which the head is awaited, and returns its ticket.
func (f *Fleet) await(m *member, expected time.Duration, now time.Time) int64 {
	f.tickets++
	m.awaiting = append(m.awaiting, awaited{ticket: f.tickets, sent: now, due: now.Add(expected)})
	return f.tickets
}

// begun takes in the head of an answer. Requests that were sent before it say no more
// of the endpoint: it answers, if not these.
func (m *member) begun(ticket int64) {
	i := slices.IndexFunc(m.awaiting, func(a awaited) bool { return a.ticket == ticket })
	m.awaiting = slices.Delete(m.awaiting, 0, i+1)
}

// forgo takes in that the head of an answer will not come.
func (m *member) forgo(ticket int64) {
	m.awaiting = slices.DeleteFunc(m.awaiting, func(a awaited) bool { return a.ticket == ticket })
}

// overdue is for how long an endpoint has not begun an answer that was expected, and
// none that was sent after it either: one that has fallen silent, or has far more to do
// than is known. What comes next waits at least so long on average.
func (m *member) overdue(now time.Time) time.Duration {
	for len(m.awaiting) > 0 && now.Sub(m.awaiting[0].sent) > awaitedFor {
		m.awaiting = m.awaiting[1:]
	}
	if len(m.awaiting) == 0 {
		return 0
	}
	return max(0, now.Sub(m.awaiting[0].due))
}
