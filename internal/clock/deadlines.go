package clock

import (
	"context"
	"sync"
	"time"
)

// Deadlines creates contexts whose deadlines also hold when the machine is suspended: the runtime's
// timers fire late by the length of the suspension. Without Deadlines, requests in flight overran
// their deadlines by that time, and kept endpoints busy.
type Deadlines struct {
	mu   sync.Mutex // guards open and the timers of its entries
	open map[*deadline]struct{}
}

// deadline is the deadline of one context.
type deadline struct {
	until  Instant
	cancel context.CancelFunc
	timer  *time.Timer // set after a suspension; nil before the first one
}

// NewDeadlines returns a Deadlines without contexts.
func NewDeadlines() *Deadlines { return &Deadlines{open: map[*deadline]struct{}{}} }

// WithDeadline returns a context that ends at an instant. The returned function cancels the context
// and releases its resources.
func (d *Deadlines) WithDeadline(ctx context.Context, until Instant) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, Until(until))
	entry := &deadline{until: until, cancel: cancel}
	d.mu.Lock()
	d.open[entry] = struct{}{}
	d.mu.Unlock()
	return context.WithValue(ctx, deadlineKey{}, until), func() {
		d.mu.Lock()
		delete(d.open, entry)
		if entry.timer != nil {
			entry.timer.Stop()
		}
		d.mu.Unlock()
		cancel()
	}
}

// deadlineKey is the context key for a context's deadline.
type deadlineKey struct{}

// Expired reports whether ctx has ended or its deadline set by WithDeadline has passed. Call it right
// before an action that can't be undone: the timer of a passed deadline may not have fired yet.
func Expired(ctx context.Context) bool {
	until, ok := ctx.Value(deadlineKey{}).(Instant)
	return ctx.Err() != nil || ok && !Now().Before(until)
}

// rearm cancels the contexts whose deadlines have passed and sets new timers for the others.
func (d *Deadlines) rearm() {
	now := Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for entry := range d.open {
		if entry.timer != nil {
			entry.timer.Stop()
		}
		if !now.Before(entry.until) {
			entry.cancel()
			continue
		}
		entry.timer = time.AfterFunc(entry.until.Sub(now), entry.cancel)
	}
}

// Parameters of Watch.
const (
	// watchInterval is the maximum delay between the end of a suspension and its detection: callers
	// have to get their answers within half a second of their deadlines.
	watchInterval = 200 * time.Millisecond
	// minSuspension is the shortest suspension that is reported: a thread that is delayed between
	// two clock readings looks like a shorter one.
	minSuspension = 20 * time.Millisecond
)

// Watch reports suspensions of the machine until ctx ends. Before each report it cancels the
// contexts whose deadlines have passed and rearms the timers of the others.
func (d *Deadlines) Watch(ctx context.Context, report func(lasted time.Duration)) {
	total := SuspendedTime()
	for Sleep(ctx, watchInterval) {
		now := SuspendedTime()
		if now-total < minSuspension {
			continue
		}
		d.rearm()
		report(now - total)
		total = now
	}
}
