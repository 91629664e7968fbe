// Package config accepts configuration revisions, spreads them to all hosts
// and keeps the one in force on this host.
//
// # Usage
//
//	log := config.NewLog(tables)
//	revision, err := log.Accept(ctx, base, change)
//	...
//	snapshot := holder.Current() // on every request
//
// A revision is one row of the table service; the head row names the newest.
// Accepting is one transaction that moves the head by compare-and-set. A host
// applies only higher revisions than it has, so none ever reverts.
package config

import (
	"time"

	"quaybarrow/internal/declare"
)

// Revision is one accepted configuration, whole.
type Revision struct {
	Number    int64     `json:"number"`
	CommandID string    `json:"command_id"` // settles whether a lost reply was a yes
	Operator  string    `json:"operator"`
	Command   string    `json:"command"` // in words, for the audit trail
	At        time.Time `json:"at"`
	// Since says when each version came into its present state.
	Since        []StateSince         `json:"since,omitempty"`
	Declarations declare.Declarations `json:"declarations"`
}

// StateSince is when a version came into its present state.
type StateSince struct {
	Version string    `json:"version"`
	At      time.Time `json:"at"`
}

// Change is a revision that an operator or duty wants accepted.
type Change struct {
	CommandID    string
	Operator     string
	Command      string
	Declarations declare.Declarations
}

// next builds the revision that a change makes after the previous one.
func (r Revision) next(c Change, now time.Time) Revision {
	return Revision{
		Number:       r.Number + 1,
		CommandID:    c.CommandID,
		Operator:     c.Operator,
		Command:      c.Command,
		At:           now,
		Since:        r.sinceAfter(c.Declarations, now),
		Declarations: c.Declarations,
	}
}

// sinceAfter keeps the times of versions whose state does not change.
func (r Revision) sinceAfter(next declare.Declarations, now time.Time) []StateSince {
	known := make(map[string]time.Time, len(r.Since))
	for _, s := range r.Since {
		known[s.Version] = s.At
	}
	var since []StateSince
	for _, m := range next.Models {
		for _, v := range m.Versions {
			ref := declare.Ref{Model: m.Name, Version: v.Name}
			at, ok := known[ref.String()]
			before, _ := r.Declarations.Version(ref)
			if !ok || before.State != v.State {
				at = now
			}
			since = append(since, StateSince{Version: ref.String(), At: at})
		}
	}
	return since
}
