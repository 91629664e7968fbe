package route

import (
	"math"
	"slices"
)

// maxUrgency is the highest number of an urgency that Urgency returns. Endpoints know one more, which is
// left to requests that only use spare capacity.
const maxUrgency = 8

// urgencies orders requests by the priorities of their workspaces first, and by those of their routes
// where these are equal.
type urgencies struct {
	workspaces []int // distinct priorities of workspaces, ascending
	routes     []int // distinct priorities of routes, ascending
}

func newUrgencies(d Declaration) urgencies {
	var u urgencies
	for _, w := range d.Workspaces {
		if w.Priority >= 0 {
			u.workspaces = append(u.workspaces, w.Priority)
		}
	}
	for _, r := range d.Routes {
		u.routes = append(u.routes, r.Priority)
		u.workspaces = append(u.workspaces, r.Priority) // of workspaces that state none
	}
	u.workspaces, u.routes = distinct(u.workspaces), distinct(u.routes)
	return u
}

func distinct(list []int) []int {
	slices.Sort(list)
	return slices.Compact(list)
}

// of returns the urgency of a request, from 0 (the most urgent) to maxUrgency.
func (u urgencies) of(workspace, route int) int {
	first, _ := slices.BinarySearch(u.workspaces, workspace)
	second, _ := slices.BinarySearch(u.routes, route)
	highest := len(u.workspaces)*len(u.routes) - 1
	urgency := first*len(u.routes) + second
	if highest > maxUrgency {
		// More pairs than urgencies: neighbors share one, and the order is kept.
		urgency = int(math.Round(float64(urgency) * maxUrgency / float64(highest)))
	}
	return urgency
}

// Urgency returns the urgency at endpoints of a workspace's requests on a route. The workspace's priority,
// if it states one, takes precedence over the route's. Where capacity is shared, the route's priority
// orders requests of workspaces with the same priority: there, requests that can wait run beside requests
// that can't.
func (t *Table) Urgency(r Route, w Workspace) int {
	priority := r.Priority
	if w.Priority >= 0 {
		priority = w.Priority
	}
	if !t.SharesCapacity() {
		return priority
	}
	return t.urgencies.of(priority, r.Priority)
}
