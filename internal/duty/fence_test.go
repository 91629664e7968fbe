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

// The platform may ignore the fencing token of a call, and a call may take effect as late as its
// timeout. So two hosts are kept from acting at once only by refraining from calls, and a late
// write to the store must not change what was reported.

const (
	// callTimeout is the maximum duration of a call to the platform.
	callTimeout = 1200 * time.Millisecond
	// leaseValidity is how long after a renewal a holder may act: it stops a fifth of the length
	// early, as the clocks of hosts run at different rates.
	leaseValidity = leaseLength * 4 / 5
)

// atPhases runs a scenario ten times, each starting at another phase of the holder's rounds, which
// take place every second.
func atPhases(each func(r *rig, after time.Duration)) {
	for phase := range 10 {
		suite.Paused(func() {
			r := newRig(3, uint64(phase))
			defer r.close()
			// The platform is busy, so each round retries what is due and makes a call.
			r.platform.SetFault(standin.Busy)
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
	It("starts no call that may outlast its lease", func() {
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
			Expect(last.Sub(cut)).To(BeNumerically(">", 0), "the holder makes calls while its lease is valid")
			Expect(last.Sub(r.lastRenewal(name))).To(BeNumerically("<=", leaseValidity-callTimeout))
		})
	})

	It("waits until no call of the previous holder can take effect", func() {
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
			Expect(first.IsZero()).To(BeFalse(), "another host takes over")
			Expect(first.Sub(last)).To(BeNumerically(">=", callTimeout))
		})
	})

	It("does not let a late write change what was reported", func() {
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
			// A host does not answer, and the write of the report without its counts is abandoned
			// but takes effect late. In the meantime the host answers, and the report with its counts
			// is stored and sent.
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

// errGivenUp is the error of a write that its caller no longer waits for.
var errGivenUp = errors.New("given up")

// delayedTables are tables in which one commit can fail for its caller and take effect later.
type delayedTables struct {
	store.Tables

	mu       sync.Mutex // guards the fields below
	delay    time.Duration
	onGiveUp func()
	done     chan struct{}
	lateErr  error // result of the late commit
}

// delayNextCommit delays the next commit and calls onGiveUp as it starts; the returned channel is
// closed once the commit has been carried out.
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

// attempt is the start of a call by a host.
type attempt struct {
	host string
	at   time.Time
}

// attempts records the calls that hosts start.
type attempts struct {
	mu  sync.Mutex // guards the field all
	all []attempt
}

func (a *attempts) add(host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, attempt{host: host, at: time.Now()})
}

// attempted lists the calls that were started, in order.
func (r *rig) attempted() []attempt {
	r.attempts.mu.Lock()
	defer r.attempts.mu.Unlock()
	return append([]attempt(nil), r.attempts.all...)
}

// setSilent sets whether a host is cut off from all other hosts and the platform.
func (r *rig) setSilent(name string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[name].silent = on
}

// renewalTables are tables that record when the last successful commit started.
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

// lastRenewal returns when the last successful renewal of a host's lease started.
func (r *rig) lastRenewal(name string) time.Time {
	b := r.node(name).renewals
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}
