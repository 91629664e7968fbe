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
	looked, told := clock.Now(), true
	for ctx.Err() == nil {
		if m.mine(name) && m.due(looked, told, period) {
			looked, told = clock.Now(), false
			if l, err := m.Acquire(ctx, name); err == nil {
				m.hold(ctx, l, duty)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-m.look:
			told = true
		case <-time.After(period):
		}
	}
}

// due reports whether a lease is looked at that another held at the last look. Hosts that
// come later look less often, most with the square of their place, so the looks of all stay few; a host
// whose forerunners are lost comes first as soon as it knows. One that has just started, or was told
// that a lease is free, looks at once if it is one of the first. One that does not know its place
// looks at nothing.
func (m *Manager) due(looked clock.Instant, told bool, period time.Duration) bool {
	if m.options.Rank == nil {
		return true
	}
	place, known := m.options.Rank()
	if !known {
		return false
	}
	if told && place <= 1 {
		return true
	}
	turns := 1 + place
	if place > oftenPlaces {
		turns *= turns
	}
	return clock.Since(looked) >= period*time.Duration(turns)-period/2
}

// oftenPlaces hosts after the first look often: the next one may not reach the store either.
const oftenPlaces = 2

// mine reports whether this host is meant to own the duty.
func (m *Manager) mine(name string) bool {
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
	last, stop := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer stop()
	// A release that fails costs the next holder a wait, nothing else.
	_ = m.Release(last, l)
}

// renewUntilLost returns when the lease is no longer valid, no longer meant for
// this host, or the context ends.
func (m *Manager) renewUntilLost(ctx context.Context, l *Lease) {
	period := m.options.Length / renewDivisor
	for {
		wait := min(period, l.Left())
		if !clock.Sleep(ctx, wait) || !m.mine(l.name) {
			return
		}
		if !l.Valid() {
			return
		}
		renewContext, cancel := context.WithTimeout(ctx, l.Left())
		err := m.Renew(renewContext, l)
		cancel()
		if errors.Is(err, ErrHeld) || !l.Valid() {
			return
		}
	}
}
