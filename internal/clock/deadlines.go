package clock

import (
	"context"
	"sync"
	"time"
)

// Deadlines are contexts that end in time also when the machine was suspended: the runtime's
// timers go off later by as long as that. Without them requests in hand were held, and kept
// endpoints at work, for as long after their time as the machine was away.
type Deadlines struct {
	mu   sync.Mutex // guards open
	open map[*deadline]struct{}
}

// deadline is a context's.
type deadline struct {
	until  Instant
	cancel context.CancelFunc
	timer  *time.Timer // nil unless the machine was suspended
}

// NewDeadlines returns none.
func NewDeadlines() *Deadlines { return &Deadlines{open: map[*deadline]struct{}{}} }

// WithDeadline returns a context that ends at a moment, and what lets go of it.
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

// deadlineKey is under which a context knows its moment.
type deadlineKey struct{}

// Expired reports whether a context has ended, or the moment has come at which one by With ends:
// for the place right before what can't be undone. There a timer may still be to come.
func Expired(ctx context.Context) bool {
	until, ok := ctx.Value(deadlineKey{}).(Instant)
	return ctx.Err() != nil || ok && !Now().Before(until)
}

// rearm ends the contexts whose time is over, and sets the timers of the others anew.
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

// Times of Watch.
const (
	// watchInterval is how soon after the machine is back a suspension is noticed: callers are to
	// have their answers within half a second of their time.
	watchInterval = 200 * time.Millisecond
	// minSuspension is how long one is that is told: a thread that waits between two readings
	// looks like a shorter one.
	minSuspension = 20 * time.Millisecond
)

// Watch tells of suspensions, after it has ended the contexts whose time was over by then; until
// ctx ends.
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
