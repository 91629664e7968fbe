package duty_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/store"
	"quaybarrow/platform/standin"
)

// The platform may ignore the token of a call, and a call may have its effect as late as when it is
// given up. So only what hosts leave undone keeps two of them from acting at once, and what the
// store does late must not change what was reported.

const (
	// callTimeout is what a call takes at most.
	callTimeout = 1200 * time.Millisecond
	// leaseValidity is how long after a renewal a holder may act: it stops a fifth early, as clocks
	// of hosts run apart.
	leaseValidity = leaseLength * 4 / 5
)

// atPhases plays something from moments on that fall elsewhere between the rounds of a holder, which
// come every second.
func atPhases(each func(r *rig, after time.Duration)) {
	for phase := range 10 {
		suite.Paused(func() {
			r := newRig(3, uint64(phase))
			defer r.close()
			// Each round tries what is due again, so there is a call in each.
			r.platform.Break(standin.Busy)
			served := make(chan struct{})
			go func() {
				defer close(served)
				r.sendRequests(30 * time.Second)
			}()
			each(r, 10*time.Second+time.Duration(phase)*131*time.Millisecond)
			<-served
		})
	}
}

var _ = Describe("the holder of the duties", func() {
	It("begins no call that may outlast its lease", func() {
		atPhases(func(r *rig, after time.Duration) {
			time.Sleep(after)
			name := r.attempted()[len(r.attempted())-1].host
			cut := time.Now()
			r.node(name).door.Cut(true)
			time.Sleep(leaseLength + time.Second)
			last := cut
			for _, a := range r.attempted() {
				if a.host == name && a.at.After(last) {
					last = a.at
				}
			}
			Expect(last.Sub(cut)).To(BeNumerically(">", 0), "it goes on while its lease lasts")
			Expect(last.Sub(r.lastRenewal(name))).To(BeNumerically("<=", leaseValidity-callTimeout))
		})
	})

	It("waits until no call of the one before can have an effect", func() {
		atPhases(func(r *rig, after time.Duration) {
			time.Sleep(after)
			name := r.attempted()[len(r.attempted())-1].host
			r.terminate(name)
			time.Sleep(10 * time.Second)
			var last, first time.Time
			for _, a := range r.attempted() {
				switch {
				case a.host == name:
					last = a.at
				case first.IsZero():
					first = a.at
				}
			}
			Expect(first.IsZero()).To(BeFalse(), "another goes on")
			Expect(first.Sub(last)).To(BeNumerically(">=", callTimeout))
		})
	})

	It("lets no late write change what was reported", func() {
		suite.Paused(func() {
			r := newRig(3, 1)
			defer r.close()
			served := make(chan struct{})
			go func() {
				defer close(served)
				r.sendRequests(30 * time.Second)
			}()
			time.Sleep(11 * time.Second)
			holder := r.holder()
			other := r.successors(holder)[0]
			// A host can't be asked, the report without it is given up and kept late; meanwhile
			// the host answers, and the report with it is kept and sent.
			r.setSilent(other, true)
			time.Sleep(2 * window)
			late := r.node(holder).tables.delayNextCommit(3*time.Second, func() { r.setSilent(other, false) })
			<-late
			time.Sleep(500 * time.Millisecond)
			r.kill(holder)
			<-served
			time.Sleep(reportDelay)
			Expect(r.node(holder).tables.lateErr).To(MatchError(store.ErrConflict))
			Expect(r.platform.Violations()).To(BeEmpty())
		})
	})
})

// errGivenUp is what a caller sees of a write that it waits for no longer.
var errGivenUp = errors.New("given up")

// delayedTables are tables of which one commit can be given up by its caller and have its effect later.
type delayedTables struct {
	store.Tables

	mu       sync.Mutex // guards all below
	delay    time.Duration
	onGiveUp func()
	done     chan struct{}
	lateErr  error // what became of the late commit
}

// delayNextCommit delays the next commit; the channel is closed once it has had its effect.
func (l *delayedTables) delayNextCommit(delay time.Duration, onGiveUp func()) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.onGiveUp, l.done = delay, onGiveUp, make(chan struct{})
	return l.done
}

// Commit implements store.Tables.
func (l *delayedTables) Commit(ctx context.Context, txn store.Transaction) error {
	l.mu.Lock()
	delay, onGiveUp, done := l.delay, l.onGiveUp, l.done
	l.delay = 0
	l.mu.Unlock()
	if delay == 0 {
		if err := l.Tables.Commit(ctx, txn); err != nil {
			return fmt.Errorf("commit: %w", err)
		}
		return nil
	}
	onGiveUp()
	go func() {
		time.Sleep(delay)
		err := l.Tables.Commit(context.Background(), txn)
		l.mu.Lock()
		l.lateErr = err
		l.mu.Unlock()
		close(done)
	}()
	return errGivenUp
}

// attempt is a call that a host begins.
type attempt struct {
	host string
	at   time.Time
}

// attempts notes calls that hosts begin.
type attempts struct {
	mu  sync.Mutex // guards all
	all []attempt
}

func (a *attempts) add(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, attempt{host: host, at: time.Now()})
}

// attempted lists the calls that began, in order.
func (r *rig) attempted() []attempt {
	r.attempts.mu.Lock()
	defer r.attempts.mu.Unlock()
	return append([]attempt(nil), r.attempts.all...)
}

// setSilent sets whether a host reaches nobody.
func (r *rig) setSilent(name string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[name].silent = on
}

// renewalTables are tables that note when the last commit began that succeeded.
type renewalTables struct {
	store.Tables

	mu   sync.Mutex // guards last
	last time.Time
}

// Commit implements store.Tables.
func (b *renewalTables) Commit(ctx context.Context, txn store.Transaction) error {
	began := time.Now()
	if err := b.Tables.Commit(ctx, txn); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last = began
	return nil
}

// lastRenewal is when the last renewal of a host's lease began that succeeded.
func (r *rig) lastRenewal(name string) time.Time {
	b := r.node(name).renewals
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}
