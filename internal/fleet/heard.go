package fleet

import (
	"slices"
	"time"
)

// HeadReport is what the head of an answer to a request with a prompt told of an endpoint.
type HeadReport struct {
	Endpoint, Service, Model string
	Ticket                   int64         // of the advice, 0 if there was none
	Took                     time.Duration // from the sending of the request
	Expected                 time.Duration // as it was sent
	Queue                    time.Duration // of that, the wait for others
	Urgency                  int           // with which it was sent
	PrefillTokens            int           // tokens that had to be read
	Exact                    bool          // none of them can have been kept
	Load                     Load          // zero Slots if it said nothing
	Refused                  bool          // the endpoint did not run the request
}

// OnHead has a function told of the head of each answer to a request with a prompt;
// it is called before any attempt is made.
func (f *Fleet) OnHead(heard func(HeadReport)) { f.onHead = heard }

// ObserveHead takes in what another host heard.
func (f *Fleet) ObserveHead(h HeadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[h.Endpoint]
	switch {
	case !ok:
	case h.Refused:
		// Full endpoints of other data halls are known by this alone: by what began there
		// an adviser would take them for empty.
		m.stopAwaiting(h.Ticket)
		f.updateLoad(m, h.Load, m.inFlight)
	default:
		m.answered(h.Ticket)
		f.observeHead(m, h)
		if i := slices.IndexFunc(m.advised, func(r advised) bool { return r.ticket == h.Ticket }); i >= 0 {
			m.advised[i].headAt = f.options.Now()
		}
	}
}

// observeHead takes in the head of an answer: the endpoint's load and waits, and the time
// that reading takes.
func (f *Fleet) observeHead(m *member, h HeadReport) {
	f.updateLoad(m, h.Load, m.inFlight)
	r := f.prefillModelOf(h.Service, h.Model)
	if rank(h.Urgency) == UrgencyLeast {
		m.ensureQueue().waits[UrgencyLeast] = observedWait{wait: max(0, h.Took-r.headTime(h.PrefillTokens)), at: f.options.Now()}
		return // it waited for all others on purpose
	}
	wait := max(0, h.Took-r.headTime(h.PrefillTokens))
	m.ensureQueue().waits[rank(h.Urgency)] = observedWait{wait: wait, at: f.options.Now()}
	f.prices[h.Service] = f.prices[h.Service].with(wait, r.prefillTime(h.PrefillTokens))
	f.overruns[h.Service] = f.overruns[h.Service].with(h.Took, h.Expected)
	r.add(h)
}

// updateLoad takes in an endpoint's own word of its load, of which this host's requests
// are a part.
func (f *Fleet) updateLoad(m *member, l Load, own int) {
	if l.Slots == 0 {
		return
	}
	m.updatePace(l.Pace)
	now := f.options.Now()
	m.others = max(0, l.Running+l.Waiting-own-m.remote(now))
	m.loadAt = now
	if m.remoteLoad != nil {
		m.remoteLoad.add(m.others)
	}
}

// remoteLoad is how many requests of hosts that this one does not advise endpoints of a
// service have, smoothed.
type remoteLoad struct{ mean float64 }

// remoteLoadWeight weighs an endpoint's word: some thirty count.
const remoteLoadWeight = 0.03

func (c *remoteLoad) add(others int) { c.mean += remoteLoadWeight * (float64(others) - c.mean) }

// remoteLoadOf returns a service's crowd.
func (f *Fleet) remoteLoadOf(service string) *remoteLoad {
	c, ok := f.remoteLoads[service]
	if !ok {
		c = &remoteLoad{}
		f.remoteLoads[service] = c
	}
	return c
}
