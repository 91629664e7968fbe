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

// tableUsage is the table that stores the reports of the latest windows.
const tableUsage = "usage"

const (
	// maxSavedReports is the number of reports to keep in the store; a holder may need the reports
	// of several failed holders before it.
	maxSavedReports = 24
	// resentReports is the number of stored reports that a new holder sends again: whether they
	// were sent is not stored, and the platform ignores repeats.
	resentReports = 2
)

// errLeaseLost means that another host has acquired the lease on the duties.
var errLeaseLost = errors.New("another host holds the duties")

// reportState is the state of the usage reports in a term.
type reportState struct {
	loaded bool
	unsent []usage.Report // oldest first
	saved  []usage.Window // windows with a row in the store, oldest first
}

// reportUsage stores and sends the reports that are due.
func (t *term) reportUsage(ctx context.Context) {
	if t.coordinator.options.Window <= 0 {
		return
	}
	if err := t.loadReports(ctx); err != nil {
		t.coordinator.options.Logger.Warn("stored usage reports can't be read", "error", err)
		return
	}
	if now, known := t.medianClock.Now(); known {
		for _, r := range t.ledger.Due(now) {
			if err := t.saveReport(ctx, r); err != nil {
				t.coordinator.options.Logger.Warn("usage not kept", "window", r.Window, "error", err)
				break
			}
		}
	}
	t.sendReports(ctx)
}

// loadReports reads the reports that were stored before this term.
func (t *term) loadReports(ctx context.Context) error {
	if t.reports.loaded {
		return nil
	}
	rows, err := t.coordinator.options.Tables.Scan(ctx, store.Range{Table: tableUsage})
	if err != nil {
		return fmt.Errorf("read usage reports: %w", err)
	}
	for i, row := range rows {
		r, err := codec.Decode[usage.Report](row.Value)
		if err != nil {
			return fmt.Errorf("read usage reports: %w", err)
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

// saveReport stores a report. If the store already has one for its window, that one is used instead.
func (t *term) saveReport(ctx context.Context, r usage.Report) error {
	data, err := codec.Encode(r)
	if err != nil {
		return fmt.Errorf("store usage report: %w", err)
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

// savedReport returns the report in the store after writing one has failed with cause, or an error
// if there is none.
func (t *term) savedReport(ctx context.Context, key string, cause error) (usage.Report, error) {
	row, err := t.coordinator.options.Tables.Get(ctx, tableUsage, key)
	switch {
	case errors.Is(err, store.ErrNotFound) && errors.Is(cause, store.ErrConflict):
		return usage.Report{}, errLeaseLost
	case err != nil:
		return usage.Report{}, fmt.Errorf("store usage report: %w", cause)
	}
	saved, err := codec.Decode[usage.Report](row.Value)
	if err != nil {
		return usage.Report{}, fmt.Errorf("read stored usage report: %w", err)
	}
	return saved, nil
}

// rowKey returns the key of a window's row; keys sort in the order of windows.
func rowKey(w usage.Window) string { return fmt.Sprintf("%016d", w) }

// sendReports sends the reports that the platform has not accepted yet, oldest first.
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
