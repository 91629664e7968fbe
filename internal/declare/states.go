package declare

import (
	"fmt"
	"slices"
)

// rank returns the position of the state in the lifecycle, or -1 for an unknown state. A version
// only moves to higher ranks.
func (s State) rank() int {
	switch s {
	case StateStaged:
		return 0
	case StateCanary:
		return 1
	case StateServing:
		return 2
	case StateRetired:
		return 3
	case StateWithdrawn:
		return 4
	default:
		return -1
	}
}

// Before reports whether the state comes before other in the lifecycle.
func (s State) Before(other State) bool { return s.rank() < other.rank() }

// CarryOverStates returns next with the states that it has to keep from previous. Files give the
// state in which a version starts; commands and plans change it from there. Therefore applying an
// old file never returns a version to an earlier state, and a withdrawn version stays declared as
// withdrawn even when the files no longer contain it. The notes tell the operator what was kept.
func CarryOverStates(previous, next Declarations) (Declarations, []string) {
	var notes []string
	for _, m := range previous.Models {
		for _, v := range m.Versions {
			ref := Ref{Model: m.Name, Version: v.Name}
			declared, ok := next.Version(ref)
			if ok && declared.State.Before(v.State) {
				notes = append(notes, fmt.Sprintf("%s stays %s (the file says %s)", ref, v.State, declared.State))
				next = next.WithState(ref, v.State)
			}
			if !ok && v.State == StateWithdrawn {
				notes = append(notes, fmt.Sprintf("%s stays declared as withdrawn", ref))
				next = next.withVersion(ref, v)
			}
		}
	}
	return next, notes
}

// withVersion returns the declarations with the version added, and its model if it is missing.
func (d Declarations) withVersion(ref Ref, v Version) Declarations {
	models := slices.Clone(d.Models)
	for i, m := range models {
		if m.Name == ref.Model {
			models[i].Versions = append(slices.Clone(m.Versions), v)
			d.Models = models
			return d
		}
	}
	models = append(models, Model{Name: ref.Model, Versions: []Version{v}})
	d.Models = models
	return d
}
