package route

import "slices"

// orders holds the priorities of a declaration, by which requests are ordered: by the priorities of their
// workspaces first, and by those of their routes where these are equal.
type orders struct {
	workspaces []int // distinct priorities of workspaces, ascending
	routes     []int // distinct priorities of routes, ascending
}

func newOrders(d Declaration) orders {
	var o orders
	for _, w := range d.Workspaces {
		if w.Priority >= 0 {
			o.workspaces = append(o.workspaces, w.Priority)
		}
	}
	for _, r := range d.Routes {
		o.routes = append(o.routes, r.Priority)
		o.workspaces = append(o.workspaces, r.Priority) // of workspaces that state none
	}
	o.workspaces, o.routes = distinct(o.workspaces), distinct(o.routes)
	return o
}

func distinct(list []int) []int {
	slices.Sort(list)
	return slices.Compact(list)
}

// of returns the order of a request with a workspace's and a route's priority, from 1 up.
func (o orders) of(workspace, route int) int {
	first, _ := slices.BinarySearch(o.workspaces, workspace)
	second, _ := slices.BinarySearch(o.routes, route)
	return 1 + first*len(o.routes) + second
}

// Order returns the order of a workspace's requests on a route among requests that wait or compete for
// capacity, from 1 up, the lowest first. The workspace's priority, if it states one, takes precedence over the
// route's, which orders requests of workspaces with the same priority. Endpoints get only the urgency: they
// would interrupt a response for a more urgent request and read its prompt again.
func (t *Table) Order(r Route, w Workspace) int {
	priority := r.Priority
	if w.Priority >= 0 {
		priority = w.Priority
	}
	return t.orders.of(priority, r.Priority)
}
