package fleet

import (
	"time"

	"quaybarrow/internal/clock"
)

// WarmUp is the load that endpoints of a service take while they are cold.
type WarmUp struct {
	Duration time.Duration // time after a start, where the endpoint does not state it
	// MaxRate is how many requests a second a cold endpoint may get from all hosts together; 0 if
	// cold endpoints take as many as others.
	MaxRate float64
}

// Choosers counts the hosts that choose endpoints at the same time.
type Choosers struct {
	Hosts    int // all of them; 0 if not known
	Advisers int // hosts among them that choose for others
}

// Shares of a cold endpoint's rate. They add up to no more than the whole rate where two hosts act
// as advisor at the same time, which lasts for about a second after an advisor is lost; see
// newAdvisorShare for a third one.
const (
	// advisedShare is for requests on which one host advises all others and which it counts.
	advisedShare = 0.4
	// unadvisedShare is for requests with a prompt from all hosts that get no advice; each of them
	// knows only its own.
	unadvisedShare = 0.2
	// plainShare is for requests without a prompt, on which no host advises. They arrive at random,
	// so their share is well below the whole rate.
	plainShare = 0.45
	// busyShare is what an endpoint gets from an advisor before endpoints that got less are
	// preferred, even if the endpoint is not reported as cold: the report takes a second or two.
	busyShare = 0.6
)

// tenure is the period in which a host has chosen endpoints with knowledge of all requests, its own
// and those on which it advises others. It is immutable.
type tenure struct{ since, last clock.Instant }

// at returns the tenure after a choice; a choice long after the last one starts a new tenure.
func (t tenure) at(now clock.Instant) tenure {
	if t.last.IsZero() || now.Sub(t.last) >= sendWindow {
		t.since = now
	}
	t.last = now
	return t
}

// isNew reports whether another host may have advised within the last sendWindow, in which case
// this host does not know which requests that host sent.
func (t tenure) isNew(now clock.Instant) bool { return now.Sub(t.since) < sendWindow }

// newAdvisorShare replaces advisedShare at a host that has just begun to advise: the advisor before
// it may have used its whole share, and a third advisor may follow within the second.
const newAdvisorShare = 0.1

// singleAdvisor reports whether one host chooses the endpoints of all prompts.
func (f *Fleet) singleAdvisor() bool {
	return f.options.Choosers != nil && f.options.Choosers().Advisers == 1
}

// defaultHosts is the number of hosts while their list is not known: as many as the largest
// deployment has.
const defaultHosts = 350

// sendWindow is the period over which sends to an endpoint are counted: a second, plus the
// variation in the time that requests take to arrive.
const sendWindow = 1100 * time.Millisecond

// coldLimits is what one host may send to a cold endpoint of a service.
type coldLimits struct {
	duration    time.Duration
	maxSends    int           // per sendWindow, of requests that this host knows all of
	busySends   int           // per sendWindow, to endpoints that may be cold without this host knowing it
	promptPause time.Duration // between two requests with a prompt that other hosts don't know of
	plainPause  time.Duration // between two requests without a prompt
}

// coldLimits returns what this host may send to cold endpoints of a service; maxSends is 0 if they
// take as much as others.
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
	advisors, advised := float64(max(c.Advisers, 1)), advisedShare
	if c.Hosts > 1 && f.advisorTenure.isNew(f.options.Now()) {
		advised = newAdvisorShare
	}
	pauseBetween := func(part float64) time.Duration { return clock.Seconds(float64(c.Hosts) / (part * w.MaxRate)) }
	return coldLimits{
		duration: w.Duration, maxSends: max(1, int(advised*w.MaxRate/advisors)), busySends: max(1, int(busyShare*w.MaxRate/advisors)),
		promptPause: pauseBetween(unadvisedShare), plainPause: pauseBetween(plainShare),
	}
}

// pauseFor returns the pause between two of a host's requests of a kind that other hosts don't know
// of.
func (w coldLimits) pauseFor(req Request) time.Duration {
	if req.Key == 0 {
		return w.plainPause
	}
	return w.promptPause
}

// warmUpState is the warm-up of an endpoint.
type warmUpState struct {
	coldUntil     clock.Instant   // cold until then
	unanswered    bool            // it could not be reached or failed repeatedly, and has not answered since
	failures      int             // failed attempts in a row
	coldSince     clock.Instant   // when it became cold
	pausePhase    float64         // part of the pause before the first request that other hosts don't know of
	lastUnadvised clock.Instant   // when the last such request was sent there
	sends         []clock.Instant // in the last sendWindow, as far as this host knows
}

// cold reports whether the endpoint is assumed to be cold.
func (w *warmUpState) cold(now clock.Instant) bool { return w.unanswered || now.Before(w.coldUntil) }

// admits reports whether an attempt may be sent to the endpoint now.
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

// busy reports whether other endpoints should be preferred for an attempt, in case this one is cold
// and that has not been reported yet.
func (w *warmUpState) busy(limits coldLimits, req Request, now clock.Instant) bool {
	return limits.busySends > 0 && !req.unadvised() && w.recentSends(now) >= limits.busySends
}

// recentSends returns how many requests were sent to the endpoint in the last sendWindow.
func (w *warmUpState) recentSends(now clock.Instant) int {
	for len(w.sends) > 0 && now.Sub(w.sends[0]) >= sendWindow {
		w.sends = w.sends[1:]
	}
	return len(w.sends)
}

// unadvised reports whether other hosts may send requests of the same kind at the same time.
func (r Request) unadvised() bool { return r.Unadvised || r.Key == 0 }

// recordSend records that an attempt is sent to an endpoint, and uses one request of its limits. It
// returns until when the loan of that request lasts; zero if there is none.
func (f *Fleet) recordSend(m *member, req Request, now clock.Instant) (loanUntil clock.Instant) {
	if f.enforcesLimit(m) {
		loanUntil = m.limit.take(now)
	}
	limits := f.coldLimits(req.Service)
	if limits.maxSends == 0 {
		return loanUntil
	}
	m.warmUp.recentSends(now)
	m.warmUp.sends = append(m.warmUp.sends, now)
	if req.unadvised() {
		m.warmUp.lastUnadvised = now
	}
	return loanUntil
}

// applyCold applies the warm-up of an endpoint's entry. An endpoint that is listed for the first
// time while the host follows the list has just started, even if its entry, which may be a moment
// old, does not state a warm-up.
func (f *Fleet) applyCold(m *member, first bool) {
	left := m.Cold
	if first && f.listRead {
		left = max(left, f.coldLimits(m.Service).duration)
	}
	if left > 0 {
		f.markCold(m, left, f.options.Now())
	}
}

// markCold marks an endpoint as cold for a time. Hosts that get no advice send their first request
// after random delays: at the same moment they would send as many requests as there are hosts.
func (f *Fleet) markCold(m *member, left time.Duration, now clock.Instant) {
	if !m.warmUp.cold(now) {
		m.warmUp.coldSince, m.warmUp.pausePhase = now, f.options.Random()
	}
	m.warmUp.coldUntil = later(m.warmUp.coldUntil, now.Add(left))
}

// maxFailures is how many attempts in a row an endpoint fails before it is assumed to have
// restarted: an endpoint that ends breaks all requests that run there. An endpoint that loses two
// responses in five, as the worst ones do, loses four in a row in one of forty cases.
const maxFailures = 4

// trackWarmUp records the outcome of an attempt for the warm-up of an endpoint. An endpoint that
// could not be reached, or that fails all requests, may have restarted, which is not reported for a
// second or two, or for the duration of a store outage. It is cold until it answers, and then for
// as long as after a start.
func (f *Fleet) trackWarmUp(m *member, o Outcome, now clock.Instant) {
	duration := f.coldLimits(m.Service).duration
	if duration == 0 {
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
			m.warmUp.coldUntil = later(m.warmUp.coldUntil, now.Add(duration))
		}
	case OutcomeNeutral, OutcomeRefused, OutcomeUnreached, OutcomeWayLost, OutcomeNotSent:
	}
}
