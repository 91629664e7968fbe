package upgrade

import (
	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
)

// apply takes in rows of the shared table.
func (t *Tracker) apply(rows []store.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		t.applyRow(row)
	}
}

// setCaughtUp notes that the whole table was read: what this host told in an earlier life
// is known by now, if it told anything.
func (t *Tracker) setCaughtUp(caughtUp bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.caughtUp = caughtUp
	if !caughtUp {
		return
	}
	for _, s := range t.services {
		s.restored = true
	}
}

// replayRows takes in the rows about an order that came before it. Orders and the shared table
// are different tables, and either may come first: a host that dropped such rows did not
// know of the upgrade until the next step of it was written.
func (t *Tracker) replayRows(s *serviceUpgrade) {
	for key, row := range t.rows {
		if name, _, _ := splitKey(key); name == s.order.Service {
			t.applyRow(row)
		}
	}
	s.restored = s.restored || t.caughtUp
}

func (t *Tracker) applyRow(row store.Change) {
	if row.Deleted {
		delete(t.rows, row.Key)
		return
	}
	if row.Version >= t.rows[row.Key].Version {
		t.rows[row.Key] = row
	}
	name, host, isEvidence := splitKey(row.Key)
	s, ok := t.services[name]
	switch {
	case !ok:
	case isEvidence:
		t.applyEvidence(s, host, row)
	default:
		t.applyProgress(s, row)
	}
}

// applyEvidence takes in what a host told of an upgrade; of what this host told itself, what
// an earlier life did.
func (t *Tracker) applyEvidence(s *serviceUpgrade, host string, row store.Change) {
	e, err := codec.Decode[Evidence](row.Value)
	if err != nil {
		t.options.Logger.Error("evidence can't be read", "row", row.Key, "error", err)
		return
	}
	switch {
	case e.Revision != s.order.Revision:
		return
	case host != t.options.Host && row.Version > s.others[host].version:
		s.others[host] = remoteEvidence{Evidence: e, version: row.Version, receivedAt: clock.Now()}
	case host == t.options.Host && !s.restored:
		s.restored = true
		s.own = s.own.plus(e)
		s.publishedTotal = targetTotal(e.Routes)
	default:
		return
	}
	t.judge(s)
}

// applyProgress takes in how far an upgrade is.
func (t *Tracker) applyProgress(s *serviceUpgrade, row store.Change) {
	p, err := codec.Decode[Progress](row.Value)
	if err != nil {
		t.options.Logger.Error("progress can't be read", "row", row.Key, "error", err)
		return
	}
	if row.Version <= s.row.Version {
		return
	}
	s.progress, s.row = p, row.Row
	if s.hasBegun() && p.Outcome == OutcomeRolledBack {
		s.verdict = VerdictBad
	}
	if s.hasBegun() && p.Outcome == OutcomeCompleted && s.rejectReason != "" {
		t.options.Logger.Warn("upgrade completed though this host found the version bad", "service", s.order.Service, "target", p.Target,
			"reason", s.rejectReason, "revision", p.Revision)
	}
	t.options.Logger.Info("upgrade moved on", "service", s.order.Service, "target", p.Target, "outcome", string(p.Outcome),
		"stage", p.Stage, "revision", p.Revision, "row_version", row.Version, "reason", p.Reason)
}
