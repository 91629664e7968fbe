package route_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/route"
)

// routeWith returns a route with an objective whose requests go to services.
func routeWith(objective time.Duration, services ...string) route.Route {
	r := route.Route{Objective: objective}
	for _, s := range services {
		r.Targets = append(r.Targets, route.Target{Service: s, Weight: 1})
	}
	return r
}

// sharing maps test names to declarations with a service "m", and to whether capacity is shared.
var sharing = map[string]struct {
	slots, workspaces int
	routes            []route.Route
	want              bool
}{
	"more workspaces than slots, and an objective twice another": {12, 13, []route.Route{routeWith(2*time.Second, "m"), routeWith(time.Second, "m")}, true},
	"as many workspaces as slots":                                {12, 12, []route.Route{routeWith(2*time.Second, "m"), routeWith(time.Second, "m")}, false},
	"objectives that differ by less":                             {12, 13, []route.Route{routeWith(1900*time.Millisecond, "m"), routeWith(time.Second, "m")}, false},
	"a single route":                                             {12, 13, []route.Route{routeWith(2*time.Second, "m")}, false},
	"a route without an objective is left out":                   {12, 13, []route.Route{routeWith(0, "m"), routeWith(time.Second, "m")}, false},
	"each weighted target counts":                                {12, 13, []route.Route{routeWith(time.Second, "p", "m"), routeWith(3*time.Second, "m", "p")}, true},
	"routes of other services don't count":                       {12, 13, []route.Route{routeWith(time.Second, "p"), routeWith(3*time.Second, "m")}, false},
	"a service without engine slots":                             {0, 13, []route.Route{routeWith(2*time.Second, "m"), routeWith(time.Second, "m")}, false},
	"no routes":                                                  {12, 13, nil, false},
}

var _ = Describe("whether capacity is shared", func() {
	for name, c := range sharing {
		It("is decided with "+name, func() {
			d := route.Declaration{Routes: c.routes, Services: []route.Service{{Name: "p"}, {Name: "m", Slots: c.slots}}}
			for i := range c.workspaces {
				d.Workspaces = append(d.Workspaces, route.Workspace{Name: strconv.Itoa(i)})
			}
			Expect(route.NewTable(d).SharesCapacity()).To(Equal(c.want))
		})
	}
})
