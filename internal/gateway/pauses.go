package gateway

import (
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/upgrade"
)

// pausesTold is how many pauses of a stream are known before its pace is told; a
// stream that ends with fewer tells what it has.
const pausesTold = 6

// pauses are the times between the events of an attempt.
type pauses struct {
	lastAt            clock.Instant
	n                 int
	shortest, longest time.Duration
	told              bool
}

// add takes in events that came together: all but the first came at once only to
// this host, so the pause counts as shared by them.
func (p *pauses) add(now clock.Instant, events int) {
	last := p.lastAt
	p.lastAt = now
	if last.IsZero() || events == 0 {
		return
	}
	p.n++
	pause := now.Sub(last)
	p.longest = max(p.longest, pause)
	pause /= time.Duration(events)
	if p.n == 1 || pause < p.shortest {
		p.shortest = pause
	}
}

// tellPace tells the pace of a stream once, as soon as it is known or the stream
// has ended.
func (a *attempt) tellPace(p *pauses, ended bool) {
	if p.told || p.n == 0 || (p.n < pausesTold && !ended) {
		return
	}
	p.told = true
	a.paced(upgrade.ShortestGap(p.shortest))
}
