package route

import "slices"

// Regions lists the regions whose endpoints may run a request; nil means all, and empty means none.
type Regions []string

// RegionsFor returns the regions that both a route and a workspace allow. One that names no regions
// allows all.
func RegionsFor(r Route, w Workspace) Regions {
	switch {
	case len(r.Regions) == 0 && len(w.Regions) == 0:
		return nil
	case len(r.Regions) == 0:
		return w.Regions
	case len(w.Regions) == 0:
		return r.Regions
	}
	common := Regions{}
	for _, region := range r.Regions {
		if slices.Contains(w.Regions, region) {
			common = append(common, region)
		}
	}
	return common
}

// None reports whether no endpoint may run the request.
func (r Regions) None() bool { return r != nil && len(r) == 0 }
