package route_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/route"
)

var _ = Describe("the order of requests that compete for capacity", func() {
	routes := []route.Route{{Name: "urgent", Priority: 0}, {Name: "label", Priority: 1}, {Name: "long", Priority: 2}}
	first, second := route.Workspace{Priority: 0}, route.Workspace{Priority: 1}
	none := route.Workspace{Priority: route.NoPriority}
	ordered := route.NewTable(route.Declaration{Routes: routes, Workspaces: []route.Workspace{first, second, none}})

	It("goes by the workspace's priority first", func() {
		Expect(ordered.Order(routes[2], first)).To(BeNumerically("<", ordered.Order(routes[0], second)))
	})
	It("goes by the route's priority within a workspace's", func() {
		Expect(ordered.Order(routes[0], second)).To(BeNumerically("<", ordered.Order(routes[1], second)))
		Expect(ordered.Order(routes[1], second)).To(BeNumerically("<", ordered.Order(routes[2], second)))
	})
	It("takes the route's priority for that of a workspace that states none", func() {
		Expect(ordered.Order(routes[1], none)).To(Equal(ordered.Order(routes[1], second)))
	})
	It("begins at 1, since 0 stands for requests without an order", func() {
		Expect(ordered.Order(routes[0], first)).To(Equal(1))
	})
})
