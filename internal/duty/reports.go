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
	// maxSavedReports are kept; a holder may need those of some failed ones before it.
	maxSavedReports = 24
	// resentReports of the kept ones are sent again by a new holder: whether they were sent is
	// not kept, and the platform passes over repeats.
	resentReports = 2
)

// errLeaseLost means that the duties are lost.
var errLeaseLost = errors.New("another host has the duties")

// reportState are those of a term.
type reportState struct {
	loaded bool
	unsent []usage.Report // oldest first
	saved  []usage.Window // whose rows are there, oldest first
}

// reportUsage keeps and sends what is due.
func (t *term) reportUsage(ctx context.Context) {
	if t.coordinator.options.Window <= 0 {
		return
	}
	if err := t.loadReports(ctx); err != nil {
		t.coordinator.options.Logger.Warn("reports of before can't be read", "error", err)
		return
	}
	if now, known := t.wallClock.Now(); known {
		for _, r := range t.ledger.Due(now) {
			if err := t.saveReport(ctx, r); err != nil {
				t.coordinator.options.Logger.Warn("usage not kept", "window", r.Window, "error", err)
				break
			}
		}
	}
	t.sendReports(ctx)
}

// loadReports reads what was reported before this term.
func (t *term) loadReports(ctx context.Context) error {
	if t.reports.loaded {
		return nil
	}
	rows, err := t.coordinator.options.Tables.Scan(ctx, store.Range{Table: tableUsage})
	if err != nil {
		return fmt.Errorf("read usage: %w", err)
	}
	for i, row := range rows {
		r, err := codec.Decode[usage.Report](row.Value)
		if err != nil {
			return fmt.Errorf("read usage: %w", err)
		}
		t.reports.saved = append(t.reports.saved, r.Window)
		t.ledger.MarkReported(r.Window)
		if i >= len(rows)-resentReports {
			t.reports.unsent = append(t.reports.unsent, r)
		}
	}
	t.reports.loaded = true
	return nil
}

// saveReport writes a report unless one of its window is there, which then stands.
func (t *term) saveReport(ctx context.Context, r usage.Report) error {
	data, err := codec.Encode(r)
	if err != nil {
		return fmt.Errorf("keep usage: %w", err)
	}
	key := rowKey(r.Window)
	txn := store.Transaction{
		Conditions: []store.Condition{store.Absent(tableUsage, key)}, Writes: []store.Write{store.Put(tableUsage, key, data)},
	}
	old := max(0, len(t.reports.saved)+1-maxSavedReports)
	for _, w := range t.reports.saved[:old] {
		txn.Writes = append(txn.Writes, store.Delete(tableUsage, rowKey(w)))
	}
	if err := t.coordinator.options.Tables.Commit(ctx, t.lease.Fenced(txn)); err != nil {
		if r, err = t.savedReport(ctx, key, err); err != nil {
			return err
		}
	}
	t.reports.saved = append(t.reports.saved[old:], r.Window)
	t.reports.unsent = append(t.reports.unsent, r)
	t.ledger.MarkReported(r.Window)
	t.coordinator.options.Logger.Info("usage kept", "window", r.Window, "workspaces", len(r.Counts), "token", t.lease.Epoch())
	return nil
}

// savedReport returns the report that stands after one could not be written, or an error.
func (t *term) savedReport(ctx context.Context, key string, cause error) (usage.Report, error) {
	row, err := t.coordinator.options.Tables.Get(ctx, tableUsage, key)
	switch {
	case errors.Is(err, store.ErrNotFound) && errors.Is(cause, store.ErrConflict):
		return usage.Report{}, errLeaseLost
	case err != nil:
		return usage.Report{}, fmt.Errorf("keep usage: %w", cause)
	}
	saved, err := codec.Decode[usage.Report](row.Value)
	if err != nil {
		return usage.Report{}, fmt.Errorf("read kept usage: %w", err)
	}
	return saved, nil
}

// rowKey is the key of a window's row; keys are in the order of windows.
func rowKey(w usage.Window) string { return fmt.Sprintf("%016d", w) }

// sendReports sends the reports that the platform has not taken, oldest first.
func (t *term) sendReports(ctx context.Context) {
	for len(t.reports.unsent) > 0 && t.mayCall(ctx) {
		r := t.reports.unsent[0]
		start := clock.Now()
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		err := t.coordinator.options.Platform.Usage(callContext, t.holder(), r)
		cancel()
		if err != nil {
			t.coordinator.options.Logger.Warn("usage not reported", "window", r.Window, "token", t.lease.Epoch(), "error", err)
			return
		}
		t.reports.unsent = t.reports.unsent[1:]
		t.coordinator.options.Logger.Info("usage reported", "window", r.Window, "workspaces", len(r.Counts), "token", t.lease.Epoch(), "took_ms", clock.Since(start).Milliseconds())
	}
}
