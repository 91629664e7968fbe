package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"quaybarrow/platform/standin"
)

// Parameters of services whose endpoints are brittle.
const (
	// brittleStream sets their numbers apart from those of a seed's other faults.
	brittleStream = 70
	// brittleFor is how long the endpoints of a service are brittle.
	brittleFor = 8 * time.Second
	// brittleSlots is what an endpoint runs at a time meanwhile, so that callers press.
	brittleSlots = 1
	// brittleWork is how long a request takes meanwhile.
	brittleWork = 150 * time.Millisecond
	// brittleWaiting is how many may wait at an endpoint once it falls over, and usualWaiting before.
	brittleWaiting, usualWaiting = 1, 12
	// survivesSpan is the most rejections a second that an endpoint survives.
	survivesSpan = 4
)

// brittleTime is a time in which the endpoints of a service are brittle.
type brittleTime struct {
	service     string
	survives    int
	from, until time.Time
}

// falls reports whether endpoints fall over at a moment.
func (b *brittleTime) falls(at time.Time) bool {
	return at.After(b.from.Add(standin.BrittleNoticeTime)) && at.Before(b.until)
}

// makeBrittle has the endpoints of services be brittle for a time; it waits until the last ones are not.
func (w *world) makeBrittle(ctx context.Context, o Options) {
	var under sync.WaitGroup
	defer under.Wait()
	for range o.Brittle {
		after := time.Duration(w.brittleDice.number(int(o.Length)))
		b := &brittleTime{service: []string{"plain", "model"}[w.brittleDice.number(2)], survives: 1 + w.brittleDice.number(survivesSpan)}
		under.Go(func() {
			if sleep(ctx, after) {
				w.beBrittle(ctx, b)
			}
		})
	}
}

// beBrittle has the endpoints of a service be brittle, unless they are already.
func (w *world) beBrittle(ctx context.Context, b *brittleTime) {
	w.mu.Lock()
	if w.brittleNow[b.service] != nil {
		w.mu.Unlock()
		return
	}
	b.from, b.until = time.Now(), time.Now().Add(brittleFor)
	w.brittleNow[b.service] = b
	w.brittleTimes = append(w.brittleTimes, b)
	w.mu.Unlock()
	sleep(ctx, brittleFor)
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.brittleNow, b.service)
}

// brittleScript is how an endpoint answers a request while it is brittle; false if it is not.
func (w *world) brittleScript(service string, r *http.Request) (standin.Script, bool) {
	w.mu.Lock()
	b := w.brittleNow[service]
	w.mu.Unlock()
	if b == nil || strings.Contains(r.RequestURI, crashMark) || standin.HasPartLike(r.Header, crashMark) {
		return nil, false
	}
	room := standin.Room{Slots: brittleSlots, Waiting: usualWaiting, Work: brittleWork, Survives: b.survives, Body: bodyOf(standin.RequestID(r))}
	if service == "model" {
		room.Events = streamEvents
	}
	if b.falls(time.Now()) {
		room.Waiting, room.Falls = brittleWaiting, true
	}
	return room, true
}

// overFalls lists the times in which endpoints of a brittle service fell over more often than they may. A
// fall counts if most of what was rejected came from hosts that nothing had happened to.
func (w *world) overFalls() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, b := range w.brittleTimes {
		falls, endpoints := 0, 0
		for _, e := range w.all {
			at := e.CrashedAt()
			if e.service != b.service || (!at.IsZero() && at.Before(b.from)) {
				continue
			}
			endpoints++
			if e.Fell() && b.falls(at) && w.mostWereWell(e.FellBy(), at) {
				falls++
			}
		}
		if most := standin.MaxFalls(endpoints - falls); falls > most {
			found = append(found, fmt.Sprintf("%d brittle endpoints of %s fell over from %s on, %d allowed", falls, b.service, b.from.Format(time.StampMilli), most))
		}
	}
	return found
}

// mostWereWell reports whether most of some requests came from hosts that nothing had happened to before a
// moment.
func (w *world) mostWereWell(ids []string, at time.Time) bool {
	well := 0
	for _, id := range ids {
		if p := w.sentBy(id); p == nil || p.wasWell(at.Add(-standin.BrittleNoticeTime), at) {
			well++
		}
	}
	return 2*well > len(ids)
}
