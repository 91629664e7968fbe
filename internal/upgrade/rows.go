package upgrade

import (
	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
)

// apply processes rows of the shared table.
func (t *Tracker) apply(rows []store.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		t.applyRow(row)
	}
}

// setCaughtUp records whether the whole table has been read. Once it has, anything that an earlier
// process of this host published is known.
func (t *Tracker) setCaughtUp(caughtUp bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.caughtUp = caughtUp
	if !caughtUp {
		return
	}
	t.tableRead = true
	for _, s := range t.services {
		s.restored = true
	}
}

// replayRows applies the rows of an upgrade that arrived before its order. Orders and the shared
// table are different tables, and either may arrive first: a host that dropped such rows did not
// know of the upgrade until its next step was written.
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

// applyEvidence processes a host's evidence about an upgrade. Evidence of this host itself was
// published by an earlier process and is added to its own.
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

// applyProgress processes the progress of an upgrade.
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
