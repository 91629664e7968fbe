package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
)

// releaseTimeout limits the write that releases a lease.
const releaseTimeout = 2 * time.Second

// Duty is work that one host at a time may do. It must return when its context ends, which happens
// before another host can acquire the lease.
type Duty func(ctx context.Context, l *Lease)

// Run competes for a duty until the context ends: it acquires the lease if this host is the
// assigned one, runs the duty while it holds the lease, and then releases it.
func (m *Manager) Run(ctx context.Context, name string, duty Duty) {
	period := m.options.Length / renewDivisor
	lastCheck, checkSoon := clock.Now(), true
	for ctx.Err() == nil {
		if m.assigned(name) && m.checkDue(lastCheck, checkSoon, period) {
			lastCheck, checkSoon = clock.Now(), false
			if l, err := m.Acquire(ctx, name); err == nil {
				m.hold(ctx, l, duty)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-m.checkSignal:
			checkSoon = true
		case <-time.After(period):
		}
	}
}

// checkDue reports whether to check a lease that another host held at the last check. Hosts of
// higher rank check less often, those above frequentRanks at an interval that grows with the square
// of their rank, so the total number of checks stays small; a host whose predecessors have failed
// gets rank 0 as soon as it detects that. A host that has just started, or was told that a lease was
// released, checks at once if its rank is 0 or 1. A host that does not know its rank checks nothing.
func (m *Manager) checkDue(lastCheck clock.Instant, checkSoon bool, period time.Duration) bool {
	if m.options.Rank == nil {
		return true
	}
	rank, known := m.options.Rank()
	if !known {
		return false
	}
	if checkSoon && rank <= 1 {
		return true
	}
	intervals := 1 + rank
	if rank > frequentRanks {
		intervals *= intervals
	}
	return clock.Since(lastCheck) >= period*time.Duration(intervals)-period/2
}

// frequentRanks is the number of hosts after the first that check often: the second one may be
// unable to reach the store, too.
const frequentRanks = 2

// assigned reports whether this host should do the duty.
func (m *Manager) assigned(name string) bool {
	return m.options.AssignedHost == nil || m.options.AssignedHost(name) == m.options.Host
}

// hold runs the duty and renews the lease until the lease is lost, another host is assigned, or the
// duty returns: a lease held without running its duty would keep all hosts from doing it.
func (m *Manager) hold(ctx context.Context, l *Lease, duty Duty) {
	dutyContext, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() {
		defer cancel()
		duty(dutyContext, l)
	})
	m.renewUntilLost(dutyContext, l)
	cancel()
	wait.Wait()
	if !l.Valid() {
		return
	}
	releaseContext, stop := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer stop()
	// If the release fails, the next holder has to wait for the expiry; nothing else is affected.
	_ = m.Release(releaseContext, l)
}

// renewUntilLost renews the lease and returns when it is no longer valid, this host is no longer the
// assigned one, or the context ends.
func (m *Manager) renewUntilLost(ctx context.Context, l *Lease) {
	period := m.options.Length / renewDivisor
	for {
		wait := min(period, l.Remaining())
		if !clock.Sleep(ctx, wait) || !m.assigned(l.name) {
			return
		}
		if !l.Valid() {
			return
		}
		renewContext, cancel := context.WithTimeout(ctx, l.Remaining())
		err := m.Renew(renewContext, l)
		cancel()
		if errors.Is(err, ErrHeld) || !l.Valid() {
			return
		}
	}
}
