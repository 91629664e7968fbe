package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"quaybarrow/internal/declare"
)

// Candidate is a version that a workspace may use, in the form that routing decisions read.
type Candidate struct {
	Ref     declare.Ref
	Name    string // Ref as text, formatted once
	Version declare.Version
	Since   time.Time // when the version entered its state
}

// Snapshot is an immutable revision with indexes.
type Snapshot struct {
	revision       Revision
	workspaceByKey map[string]string           // by key hash
	operators      map[string]declare.Operator // by key hash
	workspaces     map[string]*workspaceIndex
	states         map[declare.Ref]declare.State
}

// workspaceIndex is a workspace with the versions that it may use.
type workspaceIndex struct {
	workspace declare.Workspace
	byModel   map[string][]Candidate // all states, in declared order
}

// NewSnapshot returns a revision with its indexes.
func NewSnapshot(r Revision) *Snapshot {
	s := &Snapshot{
		revision:       r,
		workspaceByKey: map[string]string{},
		operators:      map[string]declare.Operator{},
		workspaces:     map[string]*workspaceIndex{},
		states:         map[declare.Ref]declare.State{},
	}
	since := make(map[string]time.Time, len(r.Since))
	for _, v := range r.Since {
		since[v.Version] = v.At
	}
	for _, m := range r.Declarations.Models {
		for _, v := range m.Versions {
			s.states[declare.Ref{Model: m.Name, Version: v.Name}] = v.State
		}
	}
	for _, w := range r.Declarations.Workspaces {
		s.workspaces[w.Name] = indexWorkspace(r.Declarations, w, since)
		for _, k := range w.Keys {
			s.workspaceByKey[k.Hash] = w.Name
		}
	}
	for _, o := range r.Declarations.Operators {
		s.operators[o.Hash] = o
	}
	return s
}

func indexWorkspace(d declare.Declarations, w declare.Workspace, since map[string]time.Time) *workspaceIndex {
	index := &workspaceIndex{workspace: w, byModel: map[string][]Candidate{}}
	for _, m := range d.Models {
		for _, v := range m.Versions {
			ref := declare.Ref{Model: m.Name, Version: v.Name}
			if !w.Allows(ref) {
				continue
			}
			c := Candidate{Ref: ref, Name: ref.String(), Version: v, Since: since[ref.String()]}
			index.byModel[m.Name] = append(index.byModel[m.Name], c)
		}
	}
	return index
}

// HashKey hashes a secret in the form that declarations store.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Revision returns the revision that the snapshot was built from.
func (s *Snapshot) Revision() Revision { return s.revision }

// Number returns the revision's number.
func (s *Snapshot) Number() int64 { return s.revision.Number }

// WorkspaceOfKey finds the workspace that a caller's secret belongs to.
func (s *Snapshot) WorkspaceOfKey(secret string) (declare.Workspace, bool) {
	name, ok := s.workspaceByKey[HashKey(secret)]
	if !ok {
		return declare.Workspace{}, false
	}
	return s.workspaces[name].workspace, true
}

// Operator finds the operator that a secret belongs to.
func (s *Snapshot) Operator(secret string) (declare.Operator, bool) {
	o, ok := s.operators[HashKey(secret)]
	return o, ok
}

// Workspace finds a workspace by name.
func (s *Snapshot) Workspace(name string) (declare.Workspace, bool) {
	w, ok := s.workspaces[name]
	if !ok {
		return declare.Workspace{}, false
	}
	return w.workspace, true
}

// Candidates lists the versions of a model that a workspace may use, in all
// states. The caller must not change the slice.
func (s *Snapshot) Candidates(workspace, model string) []Candidate {
	w, ok := s.workspaces[workspace]
	if !ok {
		return nil
	}
	return w.byModel[model]
}

// Candidate finds one version that a workspace may use.
func (s *Snapshot) Candidate(workspace string, ref declare.Ref) (Candidate, bool) {
	for _, c := range s.Candidates(workspace, ref.Model) {
		if c.Ref == ref {
			return c, true
		}
	}
	return Candidate{}, false
}

// State returns the state of a version; empty if it is not declared.
func (s *Snapshot) State(ref declare.Ref) declare.State { return s.states[ref] }
