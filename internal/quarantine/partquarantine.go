package quarantine

import "strings"

// label names the parts of a group, and whose requests they were in, for operators.
func (g PartGroup) label() string {
	ids := make([]string, len(g.Parts))
	for i, p := range g.Parts {
		ids[i] = p.Label
	}
	of := g.Workspace
	if g.Several {
		of = "several workspaces"
	}
	return "part " + strings.Join(ids, "+") + " of prompts of " + of
}

// refreshParts brings the quarantine of parts up to date; the caller holds mu.
func (t *Tracker) refreshParts(v *mergedView, e Evidence) {
	previous := t.parts
	t.parts = AttributePartsPartial(e, previous)
	v.unexplained = v.unexplainedBy(t.parts)
	for _, g := range t.parts.Groups {
		if previous.overlaps(g) {
			continue
		}
		t.options.Logger.Warn("part of prompts quarantined", "fingerprint", g.Parts[0].Key, "of", g.label(), "parts", len(g.Parts), "crashes", g.Crashes,
			"first_ms_ago", t.since(g.First).Milliseconds(), "last_ms_ago", t.since(g.Last).Milliseconds(), "crashes_known", len(v.Crashes), "hosts", len(t.rows))
		t.persistDue.Notify()
	}
	for _, g := range previous.Groups {
		if !t.parts.overlaps(g) {
			t.logReleased(g, e)
			for _, p := range g.Parts {
				t.released[p.Key] = struct{}{}
			}
		}
	}
	t.logSuspects(previous)
	if t.storesResolved(v) {
		t.persistDue.Notify()
	}
}

// logReleased logs that a group is in quarantine no more, with the evidence that is left against it.
func (t *Tracker) logReleased(g PartGroup, e Evidence) {
	key := g.Parts[0].Key
	a := e.assessParts(e.Crashes, 1)[key]
	if a == nil {
		a = &partAssessment{}
	}
	_, suspect := t.parts.Suspects[key]
	t.options.Logger.Info("part of prompts released from quarantine", "fingerprint", key, "of", g.label(), "crashes", len(a.crashed), "moments", a.moments,
		"slow_moments", a.slowMoments, "requests", len(a.requests), "answered", a.answered, "suspect", suspect)
}

// logSuspects logs which parts have become suspects, and which are so no more without being in quarantine.
func (t *Tracker) logSuspects(previous PartVerdict) {
	for key := range t.parts.Suspects {
		if _, known := previous.Suspects[key]; !known {
			t.options.Logger.Info("part of prompts is suspect", "fingerprint", key)
		}
	}
	for key := range previous.Suspects {
		_, suspect := t.parts.Suspects[key]
		if _, quarantined := t.parts.groupOf(key); !suspect && !quarantined {
			t.options.Logger.Info("part of prompts is suspect no more", "fingerprint", key)
		}
	}
}

// unexplainedBy returns the crashes that no part in quarantine explains.
func (v *mergedView) unexplainedBy(parts PartVerdict) []Crash {
	if len(parts.Groups) == 0 {
		return v.Crashes
	}
	var rest []Crash
	for _, c := range v.Crashes {
		if !parts.explains(c) {
			rest = append(rest, c)
		}
	}
	return rest
}

// storesPart reports whether the crashes of a part are stored; the caller holds mu.
func (t *Tracker) storesPart(key Fingerprint) bool {
	return t.view().partCounts[key] >= minStoredCrashes
}

// partsUrgent reports whether a crash has to be stored at once, for a part that is quarantined or would
// be after one more crash.
func (t *Tracker) partsUrgent(v *mergedView, c Crash) bool {
	for key := range c.Parts {
		if _, quarantined := t.parts.groupOf(key); quarantined || v.partCounts[key] >= minPartCrashes-1 {
			return true
		}
	}
	return false
}

// storesResolved reports whether the stored row counts against a part that has been cleared since.
func (t *Tracker) storesResolved(v *mergedView) bool {
	for key := range t.storedParts {
		if v.partCounts[key] == 0 {
			return true
		}
	}
	return false
}

// partKeys returns the parts of the record's crashes.
func (r record) partKeys() map[Fingerprint]struct{} {
	keys := map[Fingerprint]struct{}{}
	for _, c := range r.crashes {
		for key := range c.Parts {
			keys[key] = struct{}{}
		}
	}
	return keys
}
