package fleet

import (
	"time"

	"quaybarrow/internal/clock"
)

// WarmUp is what endpoints of a service bear while they are cold.
type WarmUp struct {
	Duration time.Duration // after a start, where the endpoint does not tell
	// MaxRate is how many requests a second a cold endpoint may get, from all hosts
	// together; 0 where it bears as many as others.
	MaxRate float64
}

// Choosers are those who choose endpoints at the same time.
type Choosers struct {
	Hosts    int // all of them; 0 if not known
	Advisers int // of these, hosts that choose for others
}

// Parts of what a cold endpoint may get in a second. They add up to no more than all of it
// where two hosts take themselves for the adviser, which lasts for about a second after one
// is lost; see newPart for a third.
const (
	// advisedPart is for requests on which one host advises all others, which counts them.
	advisedPart = 0.4
	// unadvisedPart is for requests with a prompt of hosts that get no advice, all together;
	// each knows only its own.
	unadvisedPart = 0.2
	// plainPart is for requests without a prompt, on which nobody advises. They come at
	// times by chance, so it is well below all.
	plainPart = 0.45
	// busyPart is what an endpoint gets from an adviser before others are preferred that
	// have got less, also if nobody says that it is cold: word of that takes a second or two.
	busyPart = 0.6
)

// tenure is for how long a host has chosen endpoints with knowledge of all requests, its own and those that it
// advises others on; an immutable value.
type tenure struct{ since, last clock.Instant }

// at returns the tenure after a choice; one that comes long after the last begins a new tenure.
func (t tenure) at(now clock.Instant) tenure {
	if t.last.IsZero() || now.Sub(t.last) >= sendSpan {
		t.since = now
	}
	t.last = now
	return t
}

// isNew reports whether another host may have advised within the last sendSpan: this one does not know what
// that host let through.
func (t tenure) isNew(now clock.Instant) bool { return now.Sub(t.since) < sendSpan }

// newPart takes the place of advisedPart at a host that has just begun to advise: the adviser before it may have
// let its whole part through, and a third one may follow within the second.
const newPart = 0.1

// alone reports whether one host chooses the endpoints of all prompts.
func (f *Fleet) alone() bool { return f.options.Choosers != nil && f.options.Choosers().Advisers == 1 }

// hostsUnsaid stands in for the hosts while their list is not known: as many as the largest
// deployment has.
const hostsUnsaid = 350

// sendSpan is over which sends to an endpoint are counted: a second, and what they differ
// in the time they take to arrive.
const sendSpan = 1100 * time.Millisecond

// warming is what one chooser may send to a cold endpoint of a service.
type warming struct {
	lasts   time.Duration
	most    int           // in sendSpan, of requests that this host knows all of
	busy    int           // as most, of endpoints that may be cold unknown
	pause   time.Duration // between two requests that other hosts don't know of
	pausing time.Duration // as pause, for requests without a prompt
}

// warming returns what this host may send to cold endpoints of a service; the zero value
// where they bear as much as others.
func (f *Fleet) warming(service string) warming {
	if f.options.WarmUp == nil {
		return warming{}
	}
	w := f.options.WarmUp(service)
	if w.MaxRate <= 0 {
		return warming{lasts: w.Duration}
	}
	c := Choosers{Hosts: 1, Advisers: 1}
	if f.options.Choosers != nil {
		c = f.options.Choosers()
	}
	if c.Hosts == 0 {
		c.Hosts = hostsUnsaid
	}
	advisers, advised := float64(max(c.Advisers, 1)), advisedPart
	if c.Hosts > 1 && f.advises.isNew(f.options.Now()) {
		advised = newPart
	}
	each := func(part float64) time.Duration { return clock.Seconds(float64(c.Hosts) / (part * w.MaxRate)) }
	return warming{
		lasts: w.Duration, most: max(1, int(advised*w.MaxRate/advisers)), busy: max(1, int(busyPart*w.MaxRate/advisers)),
		pause: each(unadvisedPart), pausing: each(plainPart),
	}
}

// pauseFor is the pause between two of a host's requests of a kind that others don't know
// of.
func (w warming) pauseFor(ask Request) time.Duration {
	if ask.Key == 0 {
		return w.pausing
	}
	return w.pause
}

// warmth is how far an endpoint is from bearing its usual load.
type warmth struct {
	until clock.Instant   // cold until then
	lost  bool            // it could not be reached, and has not answered since
	fails int             // attempts in a row that it failed
	since clock.Instant   // when it turned cold
	phase float64         // of the pause, until the first request of which other hosts don't know
	alone clock.Instant   // when the last such request went there
	sends []clock.Instant // in the last sendSpan, as far as this host knows
}

// cold reports whether the endpoint is taken to be cold.
func (w *warmth) cold(now clock.Instant) bool { return w.lost || now.Before(w.until) }

// takes reports whether an attempt may go to the endpoint now.
func (w *warmth) takes(limits warming, ask Request, now clock.Instant) bool {
	if limits.most == 0 || !w.cold(now) {
		return true
	}
	if !ask.unadvised() {
		return w.count(now) < limits.most
	}
	pause := limits.pauseFor(ask)
	first := w.since.Add(time.Duration(w.phase * float64(pause)))
	return !now.Before(later(first, w.alone.Add(pause)))
}

// busy reports whether other endpoints are better used for an attempt, in case this one is
// cold and nobody has said so yet.
func (w *warmth) busy(limits warming, ask Request, now clock.Instant) bool {
	return limits.busy > 0 && !ask.unadvised() && w.count(now) >= limits.busy
}

// count is how many requests went to the endpoint lately.
func (w *warmth) count(now clock.Instant) int {
	for len(w.sends) > 0 && now.Sub(w.sends[0]) >= sendSpan {
		w.sends = w.sends[1:]
	}
	return len(w.sends)
}

// unadvised reports whether other hosts may send the like at the same time.
func (a Request) unadvised() bool { return a.Unadvised || a.Key == 0 }

// sends notes that an attempt goes to an endpoint, and uses a part of what may be sent there.
func (f *Fleet) sends(m *member, ask Request, now clock.Instant) {
	if f.limited(m) {
		m.limited.take(now)
	}
	limits := f.warming(ask.Service)
	if limits.most == 0 {
		return
	}
	m.warmth.count(now)
	m.warmth.sends = append(m.warmth.sends, now)
	if ask.unadvised() {
		m.warmth.alone = now
	}
}

// chill takes in an endpoint's entry. One that is listed for the first time while the host
// follows the list has just started, whatever its entry says of a moment ago.
func (f *Fleet) chill(m *member, first bool) {
	left := m.Cold
	if first && f.read {
		left = max(left, f.warming(m.Service).lasts)
	}
	if left > 0 {
		f.cool(m, left, f.options.Now())
	}
}

// cool takes an endpoint for cold for a time. The hosts that get no advice begin at moments
// spread by chance: all at once they would send as many requests as there are hosts.
func (f *Fleet) cool(m *member, left time.Duration, now clock.Instant) {
	if !m.warmth.cold(now) {
		m.warmth.since, m.warmth.phase = now, f.options.Random()
	}
	m.warmth.until = later(m.warmth.until, now.Add(left))
}

// failsLost is how many attempts in a row an endpoint fails before it is taken to have been
// lost: one that ends breaks all that runs there. Of one that loses two answers in five, as
// the worst do, four in a row are lost once in forty.
const failsLost = 4

// met takes in how an attempt at an endpoint went. One that could not be reached, or that
// fails all it gets, may have started again, and nobody says so for a second or two, or for
// as long as the store is away: it is cold until it has answered, and for as long after that
// as after a start.
func (f *Fleet) met(m *member, o Outcome, now clock.Instant) {
	lasts := f.warming(m.Service).lasts
	if lasts == 0 {
		return
	}
	switch o {
	case OutcomeLost:
		f.cool(m, 0, now)
		m.warmth.lost = true
	case OutcomeFailed:
		m.warmth.fails++
		if m.warmth.fails >= failsLost {
			f.cool(m, 0, now)
			m.warmth.lost = true
		}
	case OutcomeGood:
		m.warmth.fails = 0
		if m.warmth.lost {
			m.warmth.lost = false
			m.warmth.until = later(m.warmth.until, now.Add(lasts))
		}
	case OutcomeNeutral, OutcomeRefused:
	}
}
