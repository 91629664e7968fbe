// Package config accepts configuration revisions, distributes them to all hosts and holds the
// revision in force on this host.
//
// # Usage
//
//	log := config.NewLog(tables)
//	revision, err := log.Accept(ctx, base, change)
//	...
//	snapshot := holder.Current() // on every request
//
// A revision is one row of the table service; the head row names the newest revision. A change is
// accepted by one transaction that updates the head row by compare-and-set. A host applies a
// revision only if its number is higher than that of the revision in force, so no host ever
// reverts.
package config

import (
	"time"

	"quaybarrow/internal/declare"
)

// Revision is one accepted configuration. It is complete, not a delta to the previous one.
type Revision struct {
	Number    int64     `json:"number"`
	CommandID string    `json:"command_id"` // shows whether the change was accepted when the reply is lost
	Operator  string    `json:"operator"`
	Command   string    `json:"command"` // readable description for the audit trail
	At        time.Time `json:"at"`
	// Since holds the time at which each version entered its current state.
	Since        []StateSince         `json:"since,omitempty"`
	Declarations declare.Declarations `json:"declarations"`
}

// StateSince is the time at which a version entered its current state.
type StateSince struct {
	Version string    `json:"version"`
	At      time.Time `json:"at"`
}

// Change is a proposed revision, made by an operator or by a periodic duty.
type Change struct {
	CommandID    string
	Operator     string
	Command      string
	Declarations declare.Declarations
}

// next returns the revision that follows r when the change is accepted.
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

// sinceAfter returns the state times for the next declarations. A version whose state does not
// change keeps its time; all others get now.
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
