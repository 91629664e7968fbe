package fleet

import (
	"slices"
	"time"
)

// HeadReport is what the response head of a request with a prompt reports of an endpoint.
type HeadReport struct {
	Endpoint, Service, Model string
	Ticket                   int64         // of the advice; 0 if there was none
	Took                     time.Duration // time from the sending of the request to the head
	Expected                 time.Duration // estimate of Took from when the request was sent
	Queue                    time.Duration // part of Expected: the wait for other requests
	Urgency                  int           // with which the request was sent
	PrefillTokens            int           // that had to be prefilled
	Exact                    bool          // none of these tokens can have been cached
	Load                     Load          // zero Slots if not reported
	Refused                  bool          // the endpoint did not run the request
}

// OnHead sets a function that is called with the report of each response head of a request with a
// prompt. It must be set before any attempt is made.
func (f *Fleet) OnHead(observe func(HeadReport)) { f.onHead = observe }

// ObserveHead records a head report of another host.
func (f *Fleet) ObserveHead(h HeadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[h.Endpoint]
	switch {
	case !ok:
	case h.Refused:
		// Only refusals reveal full endpoints of other data halls: going by the responses that
		// began there, an advisor would take them for empty.
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

// observeHead records a response head: the endpoint's load and waits, and the time that prefill
// takes.
func (f *Fleet) observeHead(m *member, h HeadReport) {
	f.updateLoad(m, h.Load, m.inFlight)
	r := f.prefillModelOf(h.Service, h.Model)
	if rank(h.Urgency) == UrgencyLeast {
		m.ensureQueue().waits[UrgencyLeast] = observedWait{wait: max(0, h.Took-r.headTime(h.PrefillTokens)), at: f.options.Now()}
		return // requests of this urgency wait for all others by design
	}
	wait := max(0, h.Took-r.headTime(h.PrefillTokens))
	m.ensureQueue().waits[rank(h.Urgency)] = observedWait{wait: wait, at: f.options.Now()}
	f.prices[h.Service] = f.prices[h.Service].with(wait, r.prefillTime(h.PrefillTokens))
	f.overruns[h.Service] = f.overruns[h.Service].with(h.Took, h.Expected)
	r.add(h)
}

// updateLoad records an endpoint's report of its load, which includes this host's requests.
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

// remoteLoad is the smoothed number of requests that the endpoints of a service have from hosts
// that this host does not advise.
type remoteLoad struct{ mean float64 }

// remoteLoadWeight is the weight of a load report: about thirty reports count.
const remoteLoadWeight = 0.03

func (r *remoteLoad) add(others int) { r.mean += remoteLoadWeight * (float64(others) - r.mean) }

func (f *Fleet) remoteLoadOf(service string) *remoteLoad {
	c, ok := f.remoteLoads[service]
	if !ok {
		c = &remoteLoad{}
		f.remoteLoads[service] = c
	}
	return c
}
