package endpoint_test

import (
	"context"
	"errors"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/store"
)

func engine(id, hall string) store.Host {
	return store.Host{ID: id, Kind: store.HostEngine, DataHall: hall, Address: "10.0.0.1:80", State: store.HostLive}
}

// watch returns a Watch that reads a list, which the test may change, and reports by engine
// address.
func watch(list *[]store.Host, reports map[string]endpoint.Report) *endpoint.Watch {
	return endpoint.NewWatch(endpoint.Options{
		Host: "entry-1", Hall: "ikeja", List: func() []store.Host { return *list },
		CountHosts: func() int { return 4 },
		Fetch: func(_ context.Context, address string) (endpoint.Report, error) {
			r, ok := reports[address]
			if !ok {
				return endpoint.Report{}, errors.New("no answer")
			}
			return r, nil
		},
	})
}

var _ = Describe("Watch", func() {
	It("applies the list to the fleet, marks leaving endpoints as draining and removes unlisted ones", func() {
		list := []store.Host{engine("e1", "ikeja"), engine("e2", "lekki"), {
			ID: "p1", Kind: store.HostService, Service: "payouts", Address: "10.0.0.2:80", State: store.HostLive,
		}, {ID: "entry-2", Kind: store.HostEntry}}
		w := watch(&list, nil)
		w.Sync()
		Expect(w.Fleet().View()).To(HaveLen(3))
		Expect(w.Fleet().HasModel(endpoint.EngineService, "m@1")).To(BeTrue(), "the loaded models are not known yet")
		Expect(w.Fleet().HasModel("payouts", "")).To(BeTrue())
		list[0].State = store.HostLeaving
		list = list[:2]
		w.Sync()
		view := w.Fleet().View()
		Expect(view).To(HaveLen(2))
		Expect(view[0].Draining).To(BeTrue())
		Expect(view[1].Ready).To(BeTrue())
	})

	It("applies the reports of engines, and relies on the list for engines that don't answer", func() {
		list := []store.Host{engine("e1", "ikeja"), engine("e2", "ikeja"), engine("e3", "ikeja")}
		list[1].Address, list[2].Address = "10.0.0.2:80", "10.0.0.3:80"
		w := watch(&list, map[string]endpoint.Report{
			"10.0.0.1:80": {Running: 3, Queued: 1, Slots: 8, Versions: []string{"m@1"}},
			"10.0.0.2:80": {Slots: 8},
		})
		w.Sync()
		w.Refresh(context.Background())
		view := w.Fleet().View()
		Expect(view[0].Others).To(Equal(4))
		Expect(view[0].Slots).To(Equal(8))
		Expect(view[0].Models).To(Equal([]string{"m@1"}))
		Expect(view[1].Models).To(BeEmpty())
		Expect(view[1].Models).NotTo(BeNil(), "the engine reported that it has no models")
		Expect(view[2].Models).To(BeNil())
		Expect(w.Fleet().HasModel(endpoint.EngineService, "m@1")).To(BeTrue())
		list = list[1:2]
		w.Sync()
		Expect(w.Fleet().HasModel(endpoint.EngineService, "m@1")).To(BeFalse())
	})

	It("selects a bounded subset of the engines, half of them in its own data hall, and all services", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			near, far := rapid.IntRange(0, 60).Draw(t, "near"), rapid.IntRange(0, 60).Draw(t, "far")
			services := rapid.IntRange(0, 5).Draw(t, "services")
			var hosts []store.Host
			for i := range near {
				hosts = append(hosts, engine(fmt.Sprint("n", i), "ikeja"))
			}
			for i := range far {
				hosts = append(hosts, engine(fmt.Sprint("f", i), "lekki"))
			}
			for i := range services {
				hosts = append(hosts, store.Host{ID: fmt.Sprint("s", i), Kind: store.HostService})
			}
			counts := map[byte]int{}
			for _, h := range endpoint.Subset(hosts, "entry-1", "ikeja", endpoint.DefaultSubset) {
				counts[h.ID[0]]++
			}
			if counts['s'] != services || counts['n']+counts['f'] != min(near+far, endpoint.DefaultSubset) {
				t.Fatalf("%v of %d near, %d far, %d services", counts, near, far, services)
			}
			if counts['n'] < min(near, endpoint.DefaultSubset/2) {
				t.Fatalf("%d of %d near engines", counts['n'], near)
			}
		})
	})
})
