package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"quaybarrow/platform/standin"
)

// Parameters of endpoints that leave or turn requests away by their responses alone.
const (
	// noticeStream sets their numbers apart from those of a seed's other faults.
	noticeStream = 60
	// shortestPause and pauseSpan are the pauses that they ask for, in tenths of a second.
	shortestPause, pauseSpan = 10, 25
	// turnAwayFor is how long an endpoint turns all requests away.
	turnAwayFor = 5 * time.Second
	// leaveFor is how long an endpoint that leaves serves on.
	leaveFor = 6 * time.Second
	// ownAnswer is how long before its arrival at a caller an answer may have passed its host.
	ownAnswer = 100 * time.Millisecond
)

// passedOn is an answer that says that its endpoint leaves, as a host has passed it on to a caller.
type passedOn struct {
	endpoint string
	host     *process
	at       time.Time
}

// giveNotices has endpoints leave, or turn requests away for a while, without a word in their entries;
// it waits until the last one has ended.
func (w *world) giveNotices(ctx context.Context, o Options) {
	var under sync.WaitGroup
	defer under.Wait()
	for i := range o.Notices {
		after := time.Duration(w.noticeDice.number(int(o.Length)))
		draw := w.noticeDice.number(1 << 20)
		pause := float64(shortestPause+w.noticeDice.number(pauseSpan)) / 10
		under.Go(func() {
			switch {
			case !sleep(ctx, after):
			case i%2 == 0:
				w.leaveByAnswers(ctx, draw)
			default:
				w.turnAway(ctx, draw, pause)
			}
		})
	}
}

// drawn is the endpoint that a number draws; nil if there is none.
func (w *world) drawn(draw int) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := make([]string, 0, len(w.endpoints))
	for id := range w.endpoints {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return nil // all have crashed
	}
	slices.Sort(ids)
	return w.endpoints[ids[draw%len(ids)]]
}

// leaveByAnswers has an endpoint say in its answers that it leaves, while its entry says that it takes
// requests; another one came before.
func (w *world) leaveByAnswers(ctx context.Context, draw int) {
	e := w.drawn(draw)
	if e == nil || !w.replace(e) {
		return
	}
	e.SetLeaving()
	sleep(ctx, leaveFor)
	w.store.Delete(standin.TableEndpoints, e.ID)
	sleep(ctx, drainBefore)
	e.end()
}

// turnAway has an endpoint turn all requests away for a while, and ask for pauses.
func (w *world) turnAway(ctx context.Context, draw int, pause float64) {
	e := w.drawn(draw)
	if e == nil || !e.turnsAway.CompareAndSwap("", strconv.FormatFloat(pause, 'f', 1, 64)) {
		return // one at a time
	}
	sleep(ctx, turnAwayFor)
	e.turnsAway.Store("")
}

// answers wraps a script of an endpoint with what it does while it turns requests away.
func (e *endpoint) answers(usual func(int, *http.Request) standin.Script) func(int, *http.Request) standin.Script {
	return func(n int, r *http.Request) standin.Script {
		if pause, ok := e.turnsAway.Load().(string); ok && pause != "" {
			return standin.TurnAway(pause)
		}
		return usual(n, r)
	}
}

// notePassedOn notes an answer that a caller has received, if it says that its endpoint leaves.
func (w *world) notePassedOn(a standin.Response, p *process) {
	if a.Err != nil || !a.SaysLeaving() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passedOn = append(w.passedOn, passedOn{endpoint: a.SealedBy(), host: p, at: time.Now()})
}

// lateAfterLeaving lists requests that reached endpoints although their hosts had passed on, long before
// they were sent, that these leave.
func (w *world) lateAfterLeaving() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, told := range w.passedOn {
		i := slices.IndexFunc(w.all, func(e *endpoint) bool { return e.ID == told.endpoint })
		if i < 0 {
			continue
		}
		for _, s := range w.all[i].Requests() {
			c, known := w.carrierOf(s.ID())
			if !known || c.host != told.host || s.Rejected || !c.sentAt.After(told.at.Add(standin.LeaveNoticeTime)) || c.host.wasInterrupted(told.at.Add(-ownAnswer), s.At) {
				continue
			}
			found = append(found, fmt.Sprintf("%s reached %s %s after %s had passed on that it leaves", s.ID(), told.endpoint, s.At.Sub(told.at), told.host.name))
		}
	}
	return slices.Compact(found)
}

// overPauses lists pauses in which an endpoint got more requests of the host that it had asked for one.
func (w *world) overPauses() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, e := range w.all {
		seen := e.Requests()
		for _, n := range e.Notices() {
			c, known := w.carrierOf(n.Request)
			if !known || n.For == 0 {
				continue
			}
			until := e.endOfStart(n.At, n.At.Add(n.For))
			count := 0
			for _, s := range seen {
				if s.At.Before(n.At.Add(standin.PauseNoticeTime)) || !s.At.Before(until) || !e.proxy.passed(n.At, s.At) {
					continue
				}
				if by, known := w.carrierOf(s.ID()); known && by.host == c.host && !by.host.wasInterrupted(n.At, s.At) {
					count++
				}
			}
			if count > standin.PauseMaxRequests {
				found = append(found, fmt.Sprintf("%s had asked %s for a pause of %s, and got %d requests from it in that time", e.ID, c.host.name, n.For, count))
			}
		}
	}
	return found
}

// endOfStart is when the start of the endpoint that ran at a moment ended, if that is before another
// moment, which it is else.
func (e *endpoint) endOfStart(at, latest time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, start := range e.starts {
		if start.After(at) && start.Before(latest) {
			return start
		}
	}
	return latest
}
