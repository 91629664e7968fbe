package fleet

import (
	"time"

	"quaybarrow/internal/clock"
)

// Urgencies of requests at endpoints, which run more urgent requests first.
const (
	urgencies      = 10
	defaultUrgency = 5 // of requests that state no urgency
	// UrgencyLeast is the urgency of requests that use only capacity that no other request needs.
	UrgencyLeast = urgencies - 1
)

// rank returns the position of an urgency in order, the most urgent first.
func rank(urgency int) int {
	if urgency < 0 {
		return defaultUrgency
	}
	return min(urgency, UrgencyLeast)
}

// backlog is the work sent to an endpoint that has not begun, by rank.
type backlog struct {
	work  [urgencies]time.Duration // time of prefill
	count [urgencies]int
}

func (b *backlog) add(rank, count int, work time.Duration) {
	b.count[rank] += count
	b.work[rank] += work
}

// before returns the work that goes before a new request of a rank, and the work that goes behind
// it.
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

// behind returns the number of requests that go behind a new request of a rank.
func (b *backlog) behind(rank int) int {
	n := 0
	for _, c := range b.count[rank+1:] {
		n += c
	}
	return n
}

// observedWait is how long a response waited beyond its own prefill, and when that was observed.
type observedWait struct {
	wait time.Duration
	at   clock.Instant
}

// decayed returns the wait that the observation implies for a request that is sent now.
func (w observedWait) decayed(now clock.Instant) time.Duration {
	age := now.Sub(w.at)
	if age >= loadReportTTL {
		return 0
	}
	return time.Duration(float64(w.wait) * (1 - float64(age)/float64(loadReportTTL)))
}

// recentWait returns how long requests of a rank or a more urgent one have recently waited, beyond
// their own prefill, at an endpoint with a given load. An observation decays with age. If the
// endpoint reports that nothing runs, there is no request to wait for, and the observed responses
// were delayed in transit.
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

// prefillWait returns how long an endpoint prefills prompts that go before a new request of a rank.
// It lasts until the endpoint should be done with all prompts, but no longer than the requests take
// that have not begun: by the clock alone, a host that overestimates prefill times would take
// engines for busy long after a load.
func (m *member) prefillWait(rank int, now clock.Instant) time.Duration {
	if m.queue == nil {
		return 0
	}
	before, behind := m.queue.backlog.before(rank)
	all := max(0, min(m.prefillUntil.Sub(now), before+behind))
	return max(0, all-behind)
}

// slotWait returns how long a new request of a rank waits for one of an endpoint's slots: the
// requests in excess of the slots that don't go behind it end one after the other, each after the
// usual time in a slot.
func (m *member) slotWait(rank int, load float64, slotTime time.Duration) time.Duration {
	slots := float64(m.slots())
	over := load*slots + 1 - slots
	if m.queue != nil {
		over -= float64(m.queue.backlog.behind(rank))
	}
	return max(0, time.Duration(over/slots*float64(slotTime)))
}

// queueWait returns how long a request of an urgency is expected to wait for others at an endpoint
// with a load. It is the longest of the computed and observed waits, since all of them estimate the
// same wait.
func (f *Fleet) queueWait(m *member, urgency int, load float64, now clock.Instant) time.Duration {
	r := rank(urgency)
	full := m.slotWait(r, load, f.slotTime(m.Service))
	return max(m.prefillWait(r, now), full, m.recentWait(r, load, now), m.overdue(now))
}

// Parameters of the time that requests hold a slot, from the response head on.
const (
	slotTimeWeight = 0.02 // weight of a response: about fifty responses count
	// priorSlotTime is used by hosts that have seen no response end.
	priorSlotTime = 1500 * time.Millisecond
)

// recordSlotTime records the time of a response from its head to its end.
func (f *Fleet) recordSlotTime(service string, d time.Duration) {
	old := f.slotTime(service)
	f.slotTimes[service] = old + time.Duration(slotTimeWeight*float64(d-old))
}

// slotTime returns how long requests of a service hold a slot.
func (f *Fleet) slotTime(service string) time.Duration {
	if d, ok := f.slotTimes[service]; ok {
		return d
	}
	return priorSlotTime
}
