package fleet

import (
	"time"

	"quaybarrow/internal/clock"
)

// Urgencies of requests at endpoints, which let the more urgent ones in first.
const (
	urgencies      = 10
	defaultUrgency = 5 // of requests that say none
	// UrgencyLeast is that of requests that take what others leave.
	UrgencyLeast = urgencies - 1
)

// rank is the place of an urgency in order, the most urgent first.
func rank(urgency int) int {
	if urgency < 0 {
		return defaultUrgency
	}
	return min(urgency, UrgencyLeast)
}

// backlog is what has been sent to an endpoint and has not begun, by rank.
type backlog struct {
	work  [urgencies]time.Duration // of reading
	count [urgencies]int
}

func (b *backlog) add(rank, count int, work time.Duration) {
	b.count[rank] += count
	b.work[rank] += work
}

// before sums what goes before a newcomer of a rank, and what goes behind it.
func (b *backlog) before(rank int) (before, behind time.Duration) {
	for i, w := range b.work {
		if i <= rank {
			before += w
		} else {
			behind += w
		}
	}
	return before, behind
}

// behind counts requests that go behind a newcomer of a rank.
func (b *backlog) behind(rank int) int {
	n := 0
	for _, c := range b.count[rank+1:] {
		n += c
	}
	return n
}

// observedWait is how long an answer waited beyond its prompt, and when that was seen.
type observedWait struct {
	wait time.Duration
	at   clock.Instant
}

// decayed is what it says of a request that is sent now.
func (w observedWait) decayed(now clock.Instant) time.Duration {
	age := now.Sub(w.at)
	if age >= loadReportTTL {
		return 0
	}
	return time.Duration(float64(w.wait) * (1 - float64(age)/float64(loadReportTTL)))
}

// recentWait is how long requests that go before a newcomer of a rank, or with it, have
// lately waited at an endpoint of a load beyond what their prompts took; it fades as nothing more
// is heard. Where by the endpoint's own word nothing runs there is nobody to wait for: those were held up
// on their way.
func (m *member) recentWait(rank int, load float64, now clock.Instant) time.Duration {
	idle := now.Sub(m.loadAt) < loadReportTTL && load*float64(m.slots()) < 1
	if m.queue == nil || idle {
		return 0
	}
	longest := time.Duration(0)
	for _, w := range m.queue.waits[:rank+1] {
		longest = max(longest, w.decayed(now))
	}
	return longest
}

// prefillWait is how long an endpoint reads prompts that go before a newcomer of a rank:
// until it should be done with all, but no more than what has not begun takes: by the
// clock alone a host that thinks engines slower than they are would take them for busy long after
// a load.
func (m *member) prefillWait(rank int, now clock.Instant) time.Duration {
	if m.queue == nil {
		return 0
	}
	before, behind := m.queue.backlog.before(rank)
	all := max(0, min(m.prefillUntil.Sub(now), before+behind))
	return max(0, all-behind)
}

// slotWait is how long a newcomer of a rank waits for one of an endpoint's slots: those
// over them that don't go behind it end one after the other, each after the usual stay.
func (m *member) slotWait(rank int, load float64, stay time.Duration) time.Duration {
	slots := float64(m.slots())
	over := load*slots + 1 - slots
	if m.queue != nil {
		over -= float64(m.queue.backlog.behind(rank))
	}
	return max(0, time.Duration(over/slots*float64(stay)))
}

// queueWait is how long a request of an urgency is expected to wait for others at an endpoint
// of a load: the longest of what is worked out and of what was seen, which tell of the same wait.
func (f *Fleet) queueWait(m *member, urgency int, load float64, now clock.Instant) time.Duration {
	r := rank(urgency)
	full := m.slotWait(r, load, f.slotTime(m.Service))
	return max(m.prefillWait(r, now), full, m.recentWait(r, load, now), m.overdue(now))
}

// Parameters of the time that requests hold a slot, from the answer's head on.
const (
	slotTimeWeight = 0.02 // weight of an answer: some fifty count
	// priorSlotTime is for hosts that have seen no answer end.
	priorSlotTime = 1500 * time.Millisecond
)

// recordSlotTime takes in how long an answer took from its head to its end.
func (f *Fleet) recordSlotTime(service string, d time.Duration) {
	old := f.slotTime(service)
	f.slotTimes[service] = old + time.Duration(slotTimeWeight*float64(d-old))
}

// slotTime is how long requests of a service hold a slot.
func (f *Fleet) slotTime(service string) time.Duration {
	if d, ok := f.slotTimes[service]; ok {
		return d
	}
	return priorSlotTime
}
