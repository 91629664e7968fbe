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

// Periods of the tracker.
const (
	stepInterval = 250 * time.Millisecond // while an upgrade is under way
	// Progress of a service is written at most once a second by one host, and once in a
	// part of an upgrade's time.
	writeInterval         = time.Second
	writeIntervalFraction = 1.0 / 24
	// Evidence is written once in half a second at most, and only when some count of it
	// has grown by publishGrowth: what a host has seen is known within that factor by all,
	// with a number of writes that grows with its logarithm.
	publishInterval = 500 * time.Millisecond
	// lastStagePublishInterval is the same in the last stage of a version that fails some answers.
	lastStagePublishInterval = 250 * time.Millisecond
	// publishIntervalPerHost lengthens both where there are many hosts: once a version fails they
	// tell of all answers, together 400 times a second at most.
	publishIntervalPerHost = 2500 * time.Microsecond
	// failurePublishInterval is the same for failures in the last stage, shortly before a step that
	// can't be taken back.
	failurePublishInterval = 100 * time.Millisecond
	publishGrowth          = 2
	// Shared rows are read once in a quarter of a second at most, by many hosts at a
	// rate that their reader can answer.
	readInterval        = 250 * time.Millisecond
	readIntervalPerHost = time.Millisecond
	// judgeInterval is how often a host weighs what all have told at most: where many fail, each
	// tells several times a second.
	judgeInterval   = 100 * time.Millisecond
	watchWait       = 5 * time.Second        // one waiting read of the shared table
	watchRetryDelay = 500 * time.Millisecond // after a failed read
	// delayPerDoubling is the time in which twice as many hosts have had a turn, so that one
	// writes, the others see it, and a few follow if that one can't.
	delayPerDoubling = 350 * time.Millisecond
	// maxClockWidth is how far the bounds of the store's clock may be apart where an upgrade
	// is begun: that much of its time is lost.
	maxClockWidth = 100 * time.Millisecond
)

// splitKey splits a row's key into service and host; a row of progress has none.
func splitKey(key string) (service, host string, isEvidence bool) {
	return strings.Cut(key, "/")
}

// Run follows the shared table and takes the steps that are due, until the
// context ends. It is idle while no upgrade is under way.
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

// finalPublishTimeout bounds how long a host that stops tries to tell what it has not told yet.
const finalPublishTimeout = 200 * time.Millisecond

// publishRemaining tells what this host has seen and not told, before it ends: hosts that are stopped
// one after the other would lose most of what was seen.
func (t *Tracker) publishRemaining(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalPublishTimeout)
	defer cancel()
	for _, w := range t.unpublishedEvidence() {
		if err := t.options.Tables.Commit(ctx, w.txn); err != nil {
			t.options.Logger.Warn("evidence is lost as the host ends", "service", w.service, "error", err)
		}
	}
}

// untilNextStep is how long it is until the next step: at a completion to the moment, since what a
// version does until then is seen in time.
func (t *Tracker) untilNextStep() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := stepInterval
	now, known := t.options.Watch.Now()
	for _, s := range t.services {
		if s.judgePending {
			wait = min(wait, judgeInterval)
		}
		if !known || s.finished() || !s.hasBegun() || s.progress.Stage < lastStage {
			continue
		}
		due := s.progress.untilCompletion(now.Minus(s.schedule.completionDelay(t.writeDelay(s), t.longestWriteDelay())), s.schedule)
		if due > 0 {
			wait = min(wait, due)
		}
	}
	return wait
}

// active reports whether an upgrade is under way.
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

// finished reports whether the outcome of the newest order is known.
func (s *serviceUpgrade) finished() bool {
	return s.progress.Revision == s.order.Revision &&
		(s.progress.Outcome == OutcomeCompleted || s.progress.Outcome == OutcomeRolledBack)
}

// watchTable reads the shared table and its changes while an upgrade is under way.
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

// read takes in the table, or what changed since a version.
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

// step does what is due for each upgrade.
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
			// What it wrote is on its way through the shared table.
			t.options.Logger.Info("upgrade was written by another host", "service", w.service, "what", w.what)
		default:
			t.options.Logger.Warn("upgrade can't be written", "service", w.service, "what", w.what, "error", err)
		}
	}
}

// confirmClear takes a last look, at what hosts have told until now, before the step that
// can't be taken back: what is passed on is up to a third of a second older. A store that
// can't be read tells nothing, so nothing is completed.
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
	j := s.judgement(Unreported{Known: true}) // no good answers are guessed for a step that can't be taken back
	if j.Verdict == VerdictClear && !j.LikelyBad() && !j.MayBeBad() {
		t.options.Logger.Info("upgrade is still clear", append([]any{"service", name}, j.fields()...)...)
		return true
	}
	t.recordVerdict(s, j)
	t.options.Logger.Info("upgrade is not completed", append([]any{"service", name}, j.fields()...)...)
	return false
}

// maxEvidenceRows bounds the rows of evidence that are read at once, as the store does.
const maxEvidenceRows = 500

// rereadProgress takes in a service's progress.
func (t *Tracker) rereadProgress(ctx context.Context, name string) {
	row, err := t.options.Tables.Get(ctx, Table, name)
	if errors.Is(err, store.ErrNotFound) {
		return // nothing was begun yet
	}
	if err != nil {
		t.options.Logger.Warn("progress of an upgrade can't be read", "service", name, "error", err)
		return
	}
	t.apply([]store.Change{{Row: row}})
}
