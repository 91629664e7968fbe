package soak

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"quaybarrow/platform/standin"
)

// Parameters of endpoints that name limits.
const (
	// limitStream sets their numbers apart from those of a seed's other faults.
	limitStream = 50
	// limitLeast and limitSpan are what they name, in tenths of a request a second.
	limitLeast, limitSpan = 5, 60
	// limitFor is how long one is named.
	limitFor = 9 * time.Second
)

// naming is a limit that an endpoint named for a time.
type naming struct {
	endpoint    *endpoint
	rate        float64 // requests a second
	from, until time.Time
}

// nameLimits has endpoints name limits for a time; it waits until the last one names none.
func (w *world) nameLimits(ctx context.Context, o Options) {
	var under sync.WaitGroup
	defer under.Wait()
	for range o.Limits {
		after := time.Duration(w.limitDice.number(int(o.Length)))
		rate := float64(limitLeast+w.limitDice.number(limitSpan)) / 10
		draw := w.limitDice.number(1 << 20)
		under.Go(func() {
			if sleep(ctx, after) {
				w.nameLimit(ctx, rate, draw)
			}
		})
	}
}

// nameLimit has an endpoint name a limit.
func (w *world) nameLimit(ctx context.Context, rate float64, draw int) {
	e := w.drawn(draw)
	if e == nil {
		return // all have crashed
	}
	if !e.limited.CompareAndSwap(false, true) {
		return // one limit at a time
	}
	defer e.limited.Store(false)
	n := naming{endpoint: e, rate: rate, from: time.Now()}
	e.SetLimitText(strconv.FormatFloat(rate, 'f', -1, 64))
	sleep(ctx, limitFor)
	n.until = time.Now()
	e.SetLimitText("")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.namings = append(w.namings, n)
}

// overLimits lists the windows in which an endpoint got more than the limit that it named.
func (w *world) overLimits() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, n := range w.namings {
		most := standin.LimitMaxRequests(n.rate)
		if worst, at := n.worst(w.sentBy); worst > most {
			found = append(found, fmt.Sprintf("%s named a limit of %.1f a second and got %d requests within %s from %s on, %d allowed",
				n.endpoint.ID, n.rate, worst, standin.LimitWindow, at.Format(time.StampMilli), most))
		}
	}
	return found
}

// worst is the most that the endpoint got in a window from hosts that nothing had happened to, and
// when that began.
func (n naming) worst(sentBy func(id string) *process) (most int, at time.Time) {
	var times []time.Time
	for _, s := range n.endpoint.Requests() {
		inTime := s.At.After(n.from.Add(standin.LimitNoticeTime)) && s.At.Before(n.until)
		if p := sentBy(s.ID()); inTime && (p == nil || p.wasWell(s.At.Add(-standin.LimitNoticeTime), s.At)) {
			times = append(times, s.At)
		}
	}
	return mostWithin(times, standin.LimitWindow)
}

// mostWithin is the most moments that lie within a window, and when that begins.
func mostWithin(times []time.Time, window time.Duration) (most int, at time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	for first, from := range times {
		n := 0
		for _, t := range times[first:] {
			if t.Sub(from) < window {
				n++
			}
		}
		if n > most {
			most, at = n, from
		}
	}
	return most, at
}

// carrier is the host that a request went to, and when its caller sent it.
type carrier struct {
	host   *process
	sentAt time.Time
}

// sends notes that a request goes to a host.
func (w *world) sends(id string, p *process) { w.carriers.Store(id, carrier{p, time.Now()}) }

// carrierOf is the carrier of a request; false if that is not known.
func (w *world) carrierOf(id string) (carrier, bool) {
	c, ok := w.carriers.Load(id)
	if !ok {
		return carrier{}, false
	}
	return c.(carrier), true //nolint:errcheck,forcetypeassert // nothing else is stored there
}

// sentBy is the host that a request went to; nil if that is not known.
func (w *world) sentBy(id string) *process {
	c, _ := w.carrierOf(id)
	return c.host
}
