package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
)

// releaseTimeout bounds the last write of a duty.
const releaseTimeout = 2 * time.Second

// Duty is work that needs one owner. It returns when its context ends, which
// happens before the lease can be taken by another.
type Duty func(ctx context.Context, l *Lease)

// Run competes for a duty until the context ends: it acquires the lease while
// this host is the owner, runs the duty while it holds it, and releases it.
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

// checkDue reports whether a lease is looked at that another held at the last look. Hosts that
// come later look less often, most with the square of their place, so the looks of all stay few; a host
// whose forerunners are lost comes first as soon as it knows. One that has just started, or was told
// that a lease is free, looks at once if it is one of the first. One that does not know its place
// looks at nothing.
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

// frequentRanks hosts after the first look often: the next one may not reach the store either.
const frequentRanks = 2

// assigned reports whether this host is meant to own the duty.
func (m *Manager) assigned(name string) bool {
	return m.options.AssignedHost == nil || m.options.AssignedHost(name) == m.options.Host
}

// hold runs the duty and renews until the lease is lost, handed on, or the duty
// returns: a lease held without its duty would keep the duty from everyone.
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
	// A release that fails costs the next holder a wait, nothing else.
	_ = m.Release(releaseContext, l)
}

// renewUntilLost returns when the lease is no longer valid, no longer meant for
// this host, or the context ends.
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
