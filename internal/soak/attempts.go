package soak

import (
	"fmt"
	"strings"
	"time"

	"quaybarrow/platform/standin"
)

// The users' bounds on single requests: how many may be run by more endpoints than their route allows, and how many
// sends may give an endpoint more time than the caller has left, by more than timeSlack; more than that, and a
// greater part of all sends, is too much.
const (
	overAttemptsMost = 3
	timeSlack        = 500 * time.Millisecond
	overTimeMost     = 20
	overTimePart     = 0.2
)

// attemptsOf are the attempts that the declaration allows each route.
var attemptsOf = map[string]int{pathOnce: 2, pathAgain: 2, pathStream: 3}

// allowedAttempts returns the attempts of the route that a target belongs to; false if it is none of these.
func allowedAttempts(target string) (int, bool) {
	for path, n := range attemptsOf {
		if strings.HasPrefix(target, path) {
			return n, true
		}
	}
	return 0, false
}

// overAttempts tells if too many requests were run by more endpoints than their routes allow. Endpoints that had
// ended meanwhile count too.
func (w *world) overAttempts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran, over := map[string]int{}, 0
	for _, e := range w.all {
		for _, s := range e.Requests() {
			allowed, known := allowedAttempts(s.Target)
			if !known || s.Rejected || s.NotRun {
				continue
			}
			ran[s.ID()]++
			if ran[s.ID()] == allowed+1 {
				over++
			}
		}
	}
	if over <= overAttemptsMost {
		return nil
	}
	return []string{fmt.Sprintf("%d requests were run by more endpoints than their routes allow", over)}
}

// overTime tells if hosts that nothing had happened to gave endpoints more time than was left.
func (w *world) overTime() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	sends, over := 0, 0
	for _, e := range w.all {
		for _, s := range e.Requests() {
			c, known := w.carrierOf(s.ID())
			if !known || !c.host.wasWell(c.sentAt.Add(-knownWithin), s.At) {
				continue
			}
			sends++
			if left, err := s.TimeLeft(); err != nil || exceedsTime(left, c.sentAt, s.At) {
				over++
			}
		}
	}
	if over <= overTimeMost || float64(over) <= overTimePart*float64(sends) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d sends gave endpoints more time than was left", over, sends)}
}

// exceedsTime reports whether the time that an endpoint got ends later than that of the caller.
func exceedsTime(left time.Duration, sent, arrived time.Time) bool {
	return arrived.Add(left).After(sent.Add(standin.CallerTime + timeSlack))
}
