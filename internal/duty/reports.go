package duty

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
	"quaybarrow/internal/usage"
)

// tableUsage keeps what was reported of the latest windows.
const tableUsage = "usage"

const (
	// keptWindows are kept; a holder may need those of some failed ones before it.
	keptWindows = 24
	// againWindows of the kept ones are sent again by a new holder: whether they were sent is
	// not kept, and the platform passes over repeats.
	againWindows = 2
)

// errLost means that the duties are lost.
var errLost = errors.New("another host has the duties")

// reports are those of a term.
type reports struct {
	loaded bool
	unsent []usage.Report // oldest first
	kept   []usage.Window // whose rows are there, oldest first
}

// report keeps and sends what is due.
func (t *term) report(ctx context.Context) {
	if t.keeper.options.Window <= 0 {
		return
	}
	if err := t.load(ctx); err != nil {
		t.keeper.options.Logger.Warn("reports of before can't be read", "error", err)
		return
	}
	if now, known := t.timeIs.Now(); known {
		for _, r := range t.ledger.Due(now) {
			if err := t.keep(ctx, r); err != nil {
				t.keeper.options.Logger.Warn("usage not kept", "window", r.Window, "error", err)
				break
			}
		}
	}
	t.sendReports(ctx)
}

// load reads what was reported before this term.
func (t *term) load(ctx context.Context) error {
	if t.reports.loaded {
		return nil
	}
	rows, err := t.keeper.options.Tables.Scan(ctx, store.Range{Table: tableUsage})
	if err != nil {
		return fmt.Errorf("read usage: %w", err)
	}
	for i, row := range rows {
		r, err := codec.Decode[usage.Report](row.Value)
		if err != nil {
			return fmt.Errorf("read usage: %w", err)
		}
		t.reports.kept = append(t.reports.kept, r.Window)
		t.ledger.MarkReported(r.Window)
		if i >= len(rows)-againWindows {
			t.reports.unsent = append(t.reports.unsent, r)
		}
	}
	t.reports.loaded = true
	return nil
}

// keep writes a report unless one of its window is there, which then stands.
func (t *term) keep(ctx context.Context, r usage.Report) error {
	data, err := codec.Encode(r)
	if err != nil {
		return fmt.Errorf("keep usage: %w", err)
	}
	key := rowOf(r.Window)
	txn := store.Transaction{
		Conditions: []store.Condition{store.Absent(tableUsage, key)}, Writes: []store.Write{store.Put(tableUsage, key, data)},
	}
	old := max(0, len(t.reports.kept)+1-keptWindows)
	for _, w := range t.reports.kept[:old] {
		txn.Writes = append(txn.Writes, store.Delete(tableUsage, rowOf(w)))
	}
	if err := t.keeper.options.Tables.Commit(ctx, t.lease.Fenced(txn)); err != nil {
		if r, err = t.alreadyKept(ctx, key, err); err != nil {
			return err
		}
	}
	t.reports.kept = append(t.reports.kept[old:], r.Window)
	t.reports.unsent = append(t.reports.unsent, r)
	t.ledger.MarkReported(r.Window)
	t.keeper.options.Logger.Info("usage kept", "window", r.Window, "workspaces", len(r.Counts), "token", t.lease.Epoch())
	return nil
}

// alreadyKept returns the report that stands after one could not be written, or an error.
func (t *term) alreadyKept(ctx context.Context, key string, cause error) (usage.Report, error) {
	row, err := t.keeper.options.Tables.Get(ctx, tableUsage, key)
	switch {
	case errors.Is(err, store.ErrNotFound) && errors.Is(cause, store.ErrConflict):
		return usage.Report{}, errLost
	case err != nil:
		return usage.Report{}, fmt.Errorf("keep usage: %w", cause)
	}
	kept, err := codec.Decode[usage.Report](row.Value)
	if err != nil {
		return usage.Report{}, fmt.Errorf("read kept usage: %w", err)
	}
	return kept, nil
}

// rowOf is the key of a window's row; keys are in the order of windows.
func rowOf(w usage.Window) string { return fmt.Sprintf("%016d", w) }

// sendReports sends the reports that the platform has not taken, oldest first.
func (t *term) sendReports(ctx context.Context) {
	for len(t.reports.unsent) > 0 && t.may(ctx) {
		r := t.reports.unsent[0]
		began := clock.Now()
		limited, cancel := context.WithTimeout(ctx, callLimit)
		err := t.keeper.options.Platform.Usage(limited, t.holder(), r)
		cancel()
		if err != nil {
			t.keeper.options.Logger.Warn("usage not reported", "window", r.Window, "token", t.lease.Epoch(), "error", err)
			return
		}
		t.reports.unsent = t.reports.unsent[1:]
		t.keeper.options.Logger.Info("usage reported", "window", r.Window, "workspaces", len(r.Counts), "token", t.lease.Epoch(), "took_ms", clock.Since(began).Milliseconds())
	}
}
