package upgrade

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/store"
)

// Intervals and limits of the tracker.
const (
	stepInterval = 250 * time.Millisecond // while an upgrade is in progress
	// A host writes a service's progress at most once a second and once in this fraction of an
	// upgrade's time.
	writeInterval         = time.Second
	writeIntervalFraction = 1.0 / 24
	// Evidence is published at most twice a second, and only if one of its counts has grown by the
	// factor publishGrowth. So all hosts know what a host has seen within that factor, and the
	// number of writes grows with the logarithm of the counts.
	publishInterval = 500 * time.Millisecond
	// lastStagePublishInterval replaces publishInterval in the last stage once an answer of the
	// target has failed.
	lastStagePublishInterval = 100 * time.Millisecond
	// publishIntervalPerHost lengthens these intervals, and confirmInterval, where there are many hosts:
	// once a version fails, all hosts publish all answers, at most 400 times a second in total.
	publishIntervalPerHost = 2500 * time.Microsecond
	// failurePublishInterval replaces publishInterval for failures in the last stage, shortly
	// before the completion, which cannot be undone.
	failurePublishInterval = 100 * time.Millisecond
	publishGrowth          = 2
	// confirmInterval is the least time between a host's readings of the evidence for a completion.
	confirmInterval = 100 * time.Millisecond
	// The shared table is read at most four times a second, and less often with many hosts, to
	// limit the load on its reader.
	readInterval        = 250 * time.Millisecond
	readIntervalPerHost = time.Millisecond
	// judgeInterval is the least time between a host's judgements of an upgrade: where many answers
	// fail, every host publishes several times a second.
	judgeInterval   = 100 * time.Millisecond
	watchWait       = 5 * time.Second        // longest wait of one read for changes of the shared table
	watchRetryDelay = 500 * time.Millisecond // after a failed read
	// delayPerDoubling is the time in which the number of hosts whose write delay has passed
	// doubles. One host writes, the others see the write, and a few more try if that host cannot.
	delayPerDoubling = 350 * time.Millisecond
	// maxClockWidth is the width of the store clock's bounds above which a host refreshes them
	// before it starts an upgrade, since the upgrade loses that much of its time.
	maxClockWidth = 100 * time.Millisecond
)

// splitKey splits a row's key into service and host; the key of a progress row has no host.
func splitKey(key string) (service, host string, isEvidence bool) {
	return strings.Cut(key, "/")
}

// Run watches the shared table and writes the steps that are due until the context ends. It is idle
// while no upgrade is in progress.
func (t *Tracker) Run(ctx context.Context) {
	defer t.publishRemaining(ctx)
	watching := make(chan struct{}, 1)
	for ctx.Err() == nil {
		if !t.active() {
			select {
			case <-ctx.Done():
				return
			case <-t.wake:
			}
			continue
		}
		select {
		case watching <- struct{}{}:
			go func() {
				defer func() { <-watching }()
				t.watchTable(ctx)
			}()
		default:
		}
		t.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-time.After(t.untilNextStep()):
		}
	}
}

// finalPublishTimeout bounds how long a stopping host tries to publish its remaining evidence.
const finalPublishTimeout = 200 * time.Millisecond

// publishRemaining publishes this host's unpublished evidence before it stops. Otherwise most of
// the evidence would be lost when hosts are stopped one after the other.
func (t *Tracker) publishRemaining(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalPublishTimeout)
	defer cancel()
	for _, w := range t.unpublishedEvidence() {
		if err := t.options.Tables.Commit(ctx, w.txn); err != nil {
			t.options.Logger.Warn("unpublished evidence is lost because the host stops", "service", w.service, "error", err)
		}
	}
}

// untilNextStep returns the time until the next step. It ends exactly when a larger share or a completion
// is due, so that a completion takes into account what was seen up to then.
func (t *Tracker) untilNextStep() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := stepInterval
	now, known := t.options.Watch.Now()
	for _, s := range t.services {
		if s.judgePending {
			wait = min(wait, judgeInterval)
		}
		if !known || s.finished() || !s.hasBegun() {
			continue
		}
		if s.progress.Stage < lastStage {
			wait = min(wait, max(s.progress.untilNextStage(s.progress.elapsedAt(now)-t.writeDelay(s), s.schedule), judgeInterval))
			continue
		}
		due := s.progress.untilCompletion(now.Minus(s.schedule.completionDelay(t.writeDelay(s), t.longestWriteDelay())), s.schedule)
		if !s.progress.overtime(now) {
			wait = min(wait, max(due, t.confirmIntervalOf(s, now)))
		}
	}
	return wait
}

// active reports whether an upgrade is in progress.
func (t *Tracker) active() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		if !s.finished() {
			return true
		}
	}
	return false
}

// finished reports whether the newest order has an outcome.
func (s *serviceUpgrade) finished() bool {
	return s.progress.Revision == s.order.Revision &&
		(s.progress.Outcome == OutcomeCompleted || s.progress.Outcome == OutcomeRolledBack)
}

// watchTable reads the shared table and its changes while an upgrade is in progress.
func (t *Tracker) watchTable(ctx context.Context) {
	version := int64(-1)
	defer t.setCaughtUp(false)
	for ctx.Err() == nil && t.active() {
		next, err := t.read(ctx, version)
		if err != nil {
			t.options.Logger.Warn("upgrades can't be read", "error", err)
			version = -1
			t.setCaughtUp(false)
			clock.Sleep(ctx, clock.Jitter(watchRetryDelay))
			continue
		}
		version = next
		clock.Sleep(ctx, max(readInterval, time.Duration(t.options.Hosts())*readIntervalPerHost))
	}
}

// read applies the whole table if version is negative, or else the changes since version; it
// returns the version it has reached.
func (t *Tracker) read(ctx context.Context, version int64) (int64, error) {
	if version < 0 {
		state, err := t.options.Watch.State(ctx, Table)
		if err != nil {
			return 0, fmt.Errorf("read upgrades: %w", err)
		}
		changes := make([]store.Change, len(state.Rows))
		for i, row := range state.Rows {
			changes[i] = store.Change{Row: row}
		}
		t.apply(changes)
		t.setCaughtUp(true)
		return state.Version, nil
	}
	changes, next, err := t.options.Watch.Changes(ctx, Table, version, watchWait)
	if err != nil {
		return 0, fmt.Errorf("watch upgrades: %w", err)
	}
	t.apply(changes)
	return next, nil
}

// step performs the writes that are due.
func (t *Tracker) step(ctx context.Context) {
	for _, w := range t.dueWrites() {
		if w.what == refreshClock {
			t.rereadProgress(ctx, w.service)
			continue
		}
		if w.what == string(OutcomeCompleted) && !t.confirmClear(ctx, w.service) {
			continue
		}
		err := t.options.Tables.Commit(ctx, w.txn)
		switch {
		case err == nil:
			t.options.Logger.Info("upgrade written", "service", w.service, "what", w.what)
		case errors.Is(err, store.ErrConflict):
			// The other host's write arrives with the changes of the shared table.
			t.options.Logger.Info("upgrade was written by another host", "service", w.service, "what", w.what)
		default:
			t.options.Logger.Warn("upgrade can't be written", "service", w.service, "what", w.what, "error", err)
		}
	}
}

// confirmClear judges the upgrade once more, on evidence read directly from the store, before the
// completion, which cannot be undone: evidence from the watcher is up to a third of a second older.
// If the store cannot be read, the upgrade is not completed.
func (t *Tracker) confirmClear(ctx context.Context, name string) bool {
	rows, err := t.options.Tables.Scan(ctx, store.Range{Table: Table, Prefix: name + "/", Limit: maxEvidenceRows})
	if err != nil {
		t.options.Logger.Warn("upgrade is not completed: its evidence can't be read", "service", name, "error", err)
		return false
	}
	changes := make([]store.Change, len(rows))
	for i, row := range rows {
		changes[i] = store.Change{Row: row}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range changes {
		t.applyRow(c)
	}
	s := t.services[name]
	j := s.judgement(Unreported{Known: true}) // assumes no good answers, since a completion cannot be undone
	now, _ := t.options.Watch.Now()
	if j.Verdict == VerdictClear && !j.LikelyBad() && !j.MayBeBad() && j.ProvedUnderLoad(s.progress.provedThreshold(now, s.schedule)) {
		t.options.Logger.Info("upgrade is still clear", append([]any{"service", name}, j.fields()...)...)
		return true
	}
	t.recordVerdict(s, j)
	s.nextWriteAt = clock.Now().Add(t.confirmIntervalOf(s, now))
	t.options.Logger.Info("upgrade is not completed", append([]any{"service", name}, j.fields()...)...)
	return false
}

// confirmIntervalOf returns the least time between this host's readings of the evidence for a completion. Once
// the order's time is over, another moment matters less than the load on the store.
func (t *Tracker) confirmIntervalOf(s *serviceUpgrade, now clock.Bounds) time.Duration {
	if s.progress.overtime(now) {
		return writeInterval
	}
	return max(confirmInterval, time.Duration(t.options.Hosts())*publishIntervalPerHost)
}

// maxEvidenceRows limits the rows of evidence read at once; the store has the same limit.
const maxEvidenceRows = 500

// rereadProgress reads and applies a service's progress.
func (t *Tracker) rereadProgress(ctx context.Context, name string) {
	row, err := t.options.Tables.Get(ctx, Table, name)
	if errors.Is(err, store.ErrNotFound) {
		return // no upgrade has started yet
	}
	if err != nil {
		t.options.Logger.Warn("progress of an upgrade can't be read", "service", name, "error", err)
		return
	}
	t.apply([]store.Change{{Row: row}})
}
