package route_test

import (
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/route"
	"quaybarrow/internal/standin/suite"
)

var table = route.NewTable(route.Declaration{
	Version: 3,
	Routes: []route.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "A.example", Prefix: "/x/"},
		{Name: "split", Host: "b.example", Prefix: "/", Targets: []route.Target{{Service: "p", Weight: 90}, {Service: "q", Weight: 10}}},
	},
	Workspaces: []route.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
})

// matches maps test names to requests and the routes that they match.
var matches = map[string]struct {
	host, path, route string
}{
	"the longest prefix wins":                           {"a.example", "/x/y/z", "long"},
	"a shorter prefix if the longer one does not match": {"a.example", "/x/yy", "short"},
	"a port does not matter":                            {"a.example:8080", "/x/1", "short"},
	"case of hosts does not matter":                     {"A.EXAMPLE", "/q", "all"},
	"another host has no route":                         {"c.example", "/x/", ""},
	"part of a prefix is not a match":                   {"a.example", "/x", "all"},
}

var _ = Describe("a table of routes", func() {
	for name, m := range matches {
		It(name, func() {
			r, ok := table.Match(m.host, m.path)
			Expect(ok).To(Equal(m.route != ""))
			Expect(r.Name).To(Equal(m.route))
		})
	}

	It("selects targets by weight", func() {
		r, _ := table.Match("b.example", "/")
		Expect(r.Target(0)).To(Equal("p"))
		Expect(r.Target(0.899)).To(Equal("p"))
		Expect(r.Target(0.9)).To(Equal("q"))
		Expect(r.Target(0.9999)).To(Equal("q"))
	})

	It("finds the workspace of a key", func() {
		w, ok := table.Workspace("k2")
		Expect(ok).To(BeTrue())
		Expect(w.Name).To(Equal("w"))
		_, ok = table.Workspace("")
		Expect(ok).To(BeFalse())
		w, ok = table.WorkspaceNamed("w")
		Expect(ok).To(BeTrue())
		Expect(w.Keys).To(HaveLen(2))
		_, ok = table.WorkspaceNamed("k1")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("the holder", func() {
	It("never returns to an older version", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			h, highest := route.NewHolder(), int64(0)
			for _, v := range rapid.SliceOf(rapid.Int64Range(1, 50)).Draw(t, "versions") {
				if h.Apply(route.NewTable(route.Declaration{Version: v})) != (v > highest) {
					t.Fatalf("Apply of version %d after version %d has the wrong result", v, highest)
				}
				highest = max(highest, v)
				if h.Table().Version() != highest {
					t.Fatalf("version in force is %d, not %d", h.Table().Version(), highest)
				}
			}
		})
	})

	It("returns the time since its table was last confirmed", func() {
		suite.Paused(func() {
			h := route.NewHolder()
			_, ok := h.Age()
			Expect(ok).To(BeFalse())
			h.Apply(table)
			time.Sleep(3 * time.Second)
			age, _ := h.Age()
			Expect(age).To(Equal(3 * time.Second))
			h.Confirm()
			synctest.Wait()
			age, _ = h.Age()
			Expect(age).To(BeZero())
			clock.SimulateSuspension(5 * time.Second)
			age, _ = h.Age()
			Expect(age).To(Equal(5*time.Second), "changes made while the machine was suspended are not known")
		})
	})
})
