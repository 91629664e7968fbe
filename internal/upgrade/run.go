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
	stepEvery = 250 * time.Millisecond // while an upgrade is under way
	// Progress of a service is written at most once a second by one host, and once in a
	// part of an upgrade's time.
	writeEvery     = time.Second
	writeEveryPart = 1.0 / 24
	// Evidence is written once in half a second at most, and only when some count of it
	// has grown by publishGrowth: what a host has seen is known within that factor by all,
	// with a number of writes that grows with its logarithm.
	publishEvery = 500 * time.Millisecond
	// publishEveryLast is the same in the last stage of a version that fails some answers.
	publishEveryLast = 250 * time.Millisecond
	// publishPerHost lengthens both where there are many hosts: once a version fails they
	// tell of all answers, together 400 times a second at most.
	publishPerHost = 2500 * time.Microsecond
	// failuresEvery is the same for failures in the last stage, shortly before a step that
	// can't be taken back.
	failuresEvery = 100 * time.Millisecond
	publishGrowth = 2
	// Shared rows are read once in a quarter of a second at most, by many hosts at a
	// rate that their reader can answer.
	readEvery   = 250 * time.Millisecond
	readPerHost = time.Millisecond
	// judgeEvery is how often a host weighs what all have told at most: where many fail, each
	// tells several times a second.
	judgeEvery = 100 * time.Millisecond
	watchWait  = 5 * time.Second        // one waiting read of the shared table
	watchRetry = 500 * time.Millisecond // after a failed read
	// turnDoubles is the time in which twice as many hosts have had a turn, so that one
	// writes, the others see it, and a few follow if that one can't.
	turnDoubles = 350 * time.Millisecond
	// clockWidth is how far the bounds of the store's clock may be apart where an upgrade
	// is begun: that much of its time is lost.
	clockWidth = 100 * time.Millisecond
)

// cutKey splits a row's key into service and host; a row of progress has none.
func cutKey(key string) (service, host string, isEvidence bool) {
	return strings.Cut(key, "/")
}

// Run follows the shared table and takes the steps that are due, until the
// context ends. It is idle while no upgrade is under way.
func (t *Tracker) Run(ctx context.Context) {
	defer t.tellRest(ctx)
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
				t.follow(ctx)
			}()
		default:
		}
		t.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-time.After(t.pause()):
		}
	}
}

// restLimit bounds how long a host that stops tries to tell what it has not told yet.
const restLimit = 200 * time.Millisecond

// tellRest tells what this host has seen and not told, before it ends: hosts that are stopped
// one after the other would lose most of what was seen.
func (t *Tracker) tellRest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), restLimit)
	defer cancel()
	for _, w := range t.rest() {
		if err := t.options.Tables.Commit(ctx, w.txn); err != nil {
			t.options.Logger.Warn("evidence is lost as the host ends", "service", w.service, "error", err)
		}
	}
}

// pause is how long it is until the next step: at a completion to the moment, since what a
// version does until then is seen in time.
func (t *Tracker) pause() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	pause := stepEvery
	now, known := t.options.Watch.Now()
	for _, s := range t.services {
		if s.unjudged {
			pause = min(pause, judgeEvery)
		}
		if !known || s.finished() || !s.begun() || s.progress.Stage < lastStage {
			continue
		}
		due := s.progress.untilDue(now.Minus(s.schedule.turn(t.turn(s), t.longestTurn())), s.schedule)
		if due > 0 {
			pause = min(pause, due)
		}
	}
	return pause
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
func (s *service) finished() bool {
	return s.progress.Revision == s.order.Revision &&
		(s.progress.Outcome == OutcomeCompleted || s.progress.Outcome == OutcomeRolledBack)
}

// follow reads the shared table and its changes while an upgrade is under way.
func (t *Tracker) follow(ctx context.Context) {
	version := int64(-1)
	defer t.caughtUpWith(false)
	for ctx.Err() == nil && t.active() {
		next, err := t.read(ctx, version)
		if err != nil {
			t.options.Logger.Warn("upgrades can't be read", "error", err)
			version = -1
			t.caughtUpWith(false)
			clock.Sleep(ctx, clock.Jitter(watchRetry))
			continue
		}
		version = next
		clock.Sleep(ctx, max(readEvery, time.Duration(t.options.Hosts())*readPerHost))
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
		t.caughtUpWith(true)
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
	for _, w := range t.due() {
		if w.what == askClock {
			t.reread(ctx, w.service)
			continue
		}
		if w.what == string(OutcomeCompleted) && !t.stillClear(ctx, w.service) {
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

// stillClear takes a last look, at what hosts have told until now, before the step that
// can't be taken back: what is passed on is up to a third of a second older. A store that
// can't be read tells nothing, so nothing is completed.
func (t *Tracker) stillClear(ctx context.Context, name string) bool {
	rows, err := t.options.Tables.Scan(ctx, store.Range{Table: Table, Prefix: name + "/", Limit: evidenceMost})
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
	j := s.judgement(Untold{Known: true}) // no good answers are guessed for a step that can't be taken back
	if j.Verdict == VerdictClear && !j.Doubtful() && !j.MayBeItsOwn() {
		t.options.Logger.Info("upgrade is still clear", append([]any{"service", name}, j.fields()...)...)
		return true
	}
	t.believe(s, j)
	t.options.Logger.Info("upgrade is not completed", append([]any{"service", name}, j.fields()...)...)
	return false
}

// evidenceMost bounds the rows of evidence that are read at once, as the store does.
const evidenceMost = 500

// reread takes in a service's progress.
func (t *Tracker) reread(ctx context.Context, name string) {
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
