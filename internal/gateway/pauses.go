package gateway

import (
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/upgrade"
)

// minPacePauses is how many pauses of a stream are known before its pace is reported. A stream that
// ends with fewer reports what it has.
const minPacePauses = 6

// eventPauses measures the times between the events of an attempt.
type eventPauses struct {
	lastEventAt       clock.Instant
	count             int // of pauses
	events            int
	shortest, longest time.Duration
	reported          bool
}

// add records events that arrived together. They were simultaneous only on arrival at this host, so
// each of them gets an equal share of the pause before them.
func (p *eventPauses) add(now clock.Instant, events int) {
	last := p.lastEventAt
	p.lastEventAt = now
	p.events += events
	if last.IsZero() || events == 0 {
		return
	}
	p.count++
	pause := now.Sub(last)
	p.longest = max(p.longest, pause)
	pause /= time.Duration(events)
	if p.count == 1 || pause < p.shortest {
		p.shortest = pause
	}
}

// outputTime returns how long an engine that reads no prompts meanwhile takes to make the events; 0 if
// none came or their pace is not known.
func (p *eventPauses) outputTime() time.Duration {
	if p == nil {
		return 0
	}
	return time.Duration(p.events) * p.shortest
}

// reportPaceOnce reports the pace of a stream once, as soon as it is known or the stream has ended.
func (a *attempt) reportPaceOnce(p *eventPauses, ended bool) {
	if p.reported || p.count == 0 || (p.count < minPacePauses && !ended) {
		return
	}
	p.reported = true
	a.reportPace(upgrade.ShortestGap(p.shortest))
}
