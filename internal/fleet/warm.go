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
	// advisedShare is for requests on which one host advises all others, which counts them.
	advisedShare = 0.4
	// unadvisedShare is for requests with a prompt of hosts that get no advice, all together;
	// each knows only its own.
	unadvisedShare = 0.2
	// plainShare is for requests without a prompt, on which nobody advises. They come at
	// times by chance, so it is well below all.
	plainShare = 0.45
	// busyShare is what an endpoint gets from an adviser before others are preferred that
	// have got less, also if nobody says that it is cold: word of that takes a second or two.
	busyShare = 0.6
)

// tenure is for how long a host has chosen endpoints with knowledge of all requests, its own and those that it
// advises others on; an immutable value.
type tenure struct{ since, last clock.Instant }

// at returns the tenure after a choice; one that comes long after the last begins a new tenure.
func (t tenure) at(now clock.Instant) tenure {
	if t.last.IsZero() || now.Sub(t.last) >= sendWindow {
		t.since = now
	}
	t.last = now
	return t
}

// isNew reports whether another host may have advised within the last sendSpan: this one does not know what
// that host let through.
func (t tenure) isNew(now clock.Instant) bool { return now.Sub(t.since) < sendWindow }

// newAdviserShare takes the place of advisedPart at a host that has just begun to advise: the adviser before it may have
// let its whole part through, and a third one may follow within the second.
const newAdviserShare = 0.1

// singleAdviser reports whether one host chooses the endpoints of all prompts.
func (f *Fleet) singleAdviser() bool {
	return f.options.Choosers != nil && f.options.Choosers().Advisers == 1
}

// defaultHosts stands in for the hosts while their list is not known: as many as the largest
// deployment has.
const defaultHosts = 350

// sendWindow is over which sends to an endpoint are counted: a second, and what they differ
// in the time they take to arrive.
const sendWindow = 1100 * time.Millisecond

// coldLimits is what one chooser may send to a cold endpoint of a service.
type coldLimits struct {
	duration    time.Duration
	maxSends    int           // in sendSpan, of requests that this host knows all of
	busySends   int           // as most, of endpoints that may be cold unknown
	promptPause time.Duration // between two requests that other hosts don't know of
	plainPause  time.Duration // as pause, for requests without a prompt
}

// coldLimits returns what this host may send to cold endpoints of a service; the zero value
// where they bear as much as others.
func (f *Fleet) coldLimits(service string) coldLimits {
	if f.options.WarmUp == nil {
		return coldLimits{}
	}
	w := f.options.WarmUp(service)
	if w.MaxRate <= 0 {
		return coldLimits{duration: w.Duration}
	}
	c := Choosers{Hosts: 1, Advisers: 1}
	if f.options.Choosers != nil {
		c = f.options.Choosers()
	}
	if c.Hosts == 0 {
		c.Hosts = defaultHosts
	}
	advisers, advised := float64(max(c.Advisers, 1)), advisedShare
	if c.Hosts > 1 && f.adviserTenure.isNew(f.options.Now()) {
		advised = newAdviserShare
	}
	each := func(part float64) time.Duration { return clock.Seconds(float64(c.Hosts) / (part * w.MaxRate)) }
	return coldLimits{
		duration: w.Duration, maxSends: max(1, int(advised*w.MaxRate/advisers)), busySends: max(1, int(busyShare*w.MaxRate/advisers)),
		promptPause: each(unadvisedShare), plainPause: each(plainShare),
	}
}

// pauseFor is the pause between two of a host's requests of a kind that others don't know
// of.
func (w coldLimits) pauseFor(req Request) time.Duration {
	if req.Key == 0 {
		return w.plainPause
	}
	return w.promptPause
}

// warmUpState is how far an endpoint is from bearing its usual load.
type warmUpState struct {
	coldUntil     clock.Instant   // cold until then
	unanswered    bool            // it could not be reached, and has not answered since
	failures      int             // attempts in a row that it failed
	coldSince     clock.Instant   // when it turned cold
	pausePhase    float64         // of the pause, until the first request of which other hosts don't know
	lastUnadvised clock.Instant   // when the last such request went there
	sends         []clock.Instant // in the last sendSpan, as far as this host knows
}

// cold reports whether the endpoint is taken to be cold.
func (w *warmUpState) cold(now clock.Instant) bool { return w.unanswered || now.Before(w.coldUntil) }

// admits reports whether an attempt may go to the endpoint now.
func (w *warmUpState) admits(limits coldLimits, req Request, now clock.Instant) bool {
	if limits.maxSends == 0 || !w.cold(now) {
		return true
	}
	if !req.unadvised() {
		return w.recentSends(now) < limits.maxSends
	}
	pause := limits.pauseFor(req)
	first := w.coldSince.Add(time.Duration(w.pausePhase * float64(pause)))
	return !now.Before(later(first, w.lastUnadvised.Add(pause)))
}

// busy reports whether other endpoints are better used for an attempt, in case this one is
// cold and nobody has said so yet.
func (w *warmUpState) busy(limits coldLimits, req Request, now clock.Instant) bool {
	return limits.busySends > 0 && !req.unadvised() && w.recentSends(now) >= limits.busySends
}

// recentSends is how many requests went to the endpoint lately.
func (w *warmUpState) recentSends(now clock.Instant) int {
	for len(w.sends) > 0 && now.Sub(w.sends[0]) >= sendWindow {
		w.sends = w.sends[1:]
	}
	return len(w.sends)
}

// unadvised reports whether other hosts may send the like at the same time.
func (a Request) unadvised() bool { return a.Unadvised || a.Key == 0 }

// recordSend notes that an attempt goes to an endpoint, and uses a part of what may be sent there.
func (f *Fleet) recordSend(m *member, req Request, now clock.Instant) {
	if f.enforcesLimit(m) {
		m.limit.take(now)
	}
	limits := f.coldLimits(req.Service)
	if limits.maxSends == 0 {
		return
	}
	m.warmUp.recentSends(now)
	m.warmUp.sends = append(m.warmUp.sends, now)
	if req.unadvised() {
		m.warmUp.lastUnadvised = now
	}
}

// applyCold takes in an endpoint's entry. One that is listed for the first time while the host
// follows the list has just started, whatever its entry says of a moment ago.
func (f *Fleet) applyCold(m *member, first bool) {
	left := m.Cold
	if first && f.listRead {
		left = max(left, f.coldLimits(m.Service).duration)
	}
	if left > 0 {
		f.markCold(m, left, f.options.Now())
	}
}

// markCold takes an endpoint for cold for a time. The hosts that get no advice begin at moments
// spread by chance: all at once they would send as many requests as there are hosts.
func (f *Fleet) markCold(m *member, left time.Duration, now clock.Instant) {
	if !m.warmUp.cold(now) {
		m.warmUp.coldSince, m.warmUp.pausePhase = now, f.options.Random()
	}
	m.warmUp.coldUntil = later(m.warmUp.coldUntil, now.Add(left))
}

// maxFailures is how many attempts in a row an endpoint fails before it is taken to have been
// lost: one that ends breaks all that runs there. Of one that loses two answers in five, as
// the worst do, four in a row are lost once in forty.
const maxFailures = 4

// trackWarmUp takes in how an attempt at an endpoint went. One that could not be reached, or that
// fails all it gets, may have started again, and nobody says so for a second or two, or for
// as long as the store is away: it is cold until it has answered, and for as long after that
// as after a start.
func (f *Fleet) trackWarmUp(m *member, o Outcome, now clock.Instant) {
	lasts := f.coldLimits(m.Service).duration
	if lasts == 0 {
		return
	}
	switch o {
	case OutcomeLost:
		f.markCold(m, 0, now)
		m.warmUp.unanswered = true
	case OutcomeFailed:
		m.warmUp.failures++
		if m.warmUp.failures >= maxFailures {
			f.markCold(m, 0, now)
			m.warmUp.unanswered = true
		}
	case OutcomeGood:
		m.warmUp.failures = 0
		if m.warmUp.unanswered {
			m.warmUp.unanswered = false
			m.warmUp.coldUntil = later(m.warmUp.coldUntil, now.Add(lasts))
		}
	case OutcomeNeutral, OutcomeRefused:
	}
}
