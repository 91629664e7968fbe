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
func (f *Fleet) OnHead(heard func(HeadReport)) { f.heard = heard }

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
		m.forgo(h.Ticket)
		f.echo(m, h.Load, m.flying)
	default:
		m.begun(h.Ticket)
		f.hear(m, h)
		if i := slices.IndexFunc(m.advised, func(r advised) bool { return r.ticket == h.Ticket }); i >= 0 {
			m.advised[i].begun = f.options.Now()
		}
	}
}

// hear takes in the head of an answer: the endpoint's load and waits, and the time
// that reading takes.
func (f *Fleet) hear(m *member, h HeadReport) {
	f.echo(m, h.Load, m.flying)
	r := f.readingOf(h.Service, h.Model)
	if rank(h.Urgency) == UrgencyLeast {
		m.deals().waits[UrgencyLeast] = observedWait{wait: max(0, h.Took-r.head(h.PrefillTokens)), at: f.options.Now()}
		return // it waited for all others on purpose
	}
	wait := max(0, h.Took-r.head(h.PrefillTokens))
	m.deals().waits[rank(h.Urgency)] = observedWait{wait: wait, at: f.options.Now()}
	f.prices[h.Service] = f.prices[h.Service].with(wait, r.tokens(h.PrefillTokens))
	f.overruns[h.Service] = f.overruns[h.Service].with(h.Took, h.Expected)
	r.add(h)
}

// echo takes in an endpoint's own word of its load, of which this host's requests
// are a part.
func (f *Fleet) echo(m *member, l Load, own int) {
	if l.Slots == 0 {
		return
	}
	m.heardPace(l.Pace)
	now := f.options.Now()
	m.others = max(0, l.Running+l.Waiting-own-m.remote(now))
	m.saidAt = now
	if m.crowd != nil {
		m.crowd.add(m.others)
	}
}

// crowd is how many requests of hosts that this one does not advise endpoints of a
// service have, smoothed.
type crowd struct{ mean float64 }

// crowdStep weighs an endpoint's word: some thirty count.
const crowdStep = 0.03

func (c *crowd) add(others int) { c.mean += crowdStep * (float64(others) - c.mean) }

// crowdOf returns a service's crowd.
func (f *Fleet) crowdOf(service string) *crowd {
	c, ok := f.crowds[service]
	if !ok {
		c = &crowd{}
		f.crowds[service] = c
	}
	return c
}
