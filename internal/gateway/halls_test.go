package gateway_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	"quaybarrow/internal/advice"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/route"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

var _ = Describe("requests while data halls are evacuated", func() {
	It("are refused at once without having run if all data halls are evacuated", func() {
		for _, path := range []string{"/once/1", "/again/1", "/stream/1"} {
			suite.Paused(func() {
				r := newRig(scripts{"plain-1": standin.Always(good), "model-1": standin.Always(standin.Stream{Events: 3, Confidence: 90})})
				defer r.stop()
				r.fleet.Evacuate([]string{"ikeja"})
				asked := time.Now()
				a := r.ask(request("POST", path, "body"))
				Expect(a.Status).To(Equal(http.StatusServiceUnavailable), path)
				Expect(time.Since(asked)).To(BeZero(), path)
				Expect(a.Head.Get("Retry-After")).To(Equal("2.00"), path)
				Expect(r.runs()).To(BeZero(), path)
				r.fleet.Evacuate(nil)
				Expect(r.ask(request("POST", path, "body")).Status).To(Equal(http.StatusOK), path)
			})
		}
	})

	It("finish at the endpoints that run them, and continue elsewhere if they break off", func() {
		suite.Paused(func() {
			breaks := standin.Stream{Events: 6, BreakAfter: 3, Confidence: 90, Gap: 50 * time.Millisecond}
			complete := standin.Stream{Events: 6, Confidence: 90, Gap: 50 * time.Millisecond}
			r := newRig(scripts{"model-1": standin.Always(breaks), "model-2": standin.Always(complete)})
			defer r.stop()
			for id, hall := range map[string]string{"model-1": "ikeja", "model-2": "lekki"} {
				e, _ := r.fleet.Listed(id)
				e.Hall = hall
				r.fleet.Put(e)
			}
			r.fleet.Evacuate([]string{"lekki"})
			c := r.call()
			defer func() { _ = c.Close() }()
			c.send(request("POST", "/stream/1", "body").Text())
			time.Sleep(20 * time.Millisecond)
			Expect(r.endpoints["model-1"].Requests()).To(HaveLen(1))
			r.fleet.Evacuate([]string{"ikeja"})
			a := c.read()
			Expect(a.Status).To(Equal(http.StatusOK))
			Expect(a.Err).NotTo(HaveOccurred())
			Expect(a.Body).To(ContainSubstring("id: 6"))
			Expect(r.endpoints["model-1"].Requests()).To(HaveLen(1), "its data hall is evacuated")
			Expect(r.endpoints["model-2"].Requests()).To(HaveLen(1))
		})
	})
})

var _ = Describe("requests that are restricted to regions", func() {
	// newRegionRig returns a rig with an endpoint in each of two regions.
	newRegionRig := func(ofRoute, ofWorkspace []string) *rig {
		r := newRig(scripts{"plain-1": standin.Always(good), "plain-2": standin.Always(good)})
		f := fleet.New(fleet.Options{Hall: "ikeja", Regions: map[string]string{"ikeja": "lagos", "wuse": "abuja"}})
		for id, hall := range map[string]string{"plain-1": "ikeja", "plain-2": "wuse"} {
			e, _ := r.fleet.Listed(id)
			e.Hall = hall
			f.Put(e)
		}
		r.gateway.Fleet = f
		d := declaration()
		d.Version = 2
		for i := range d.Routes {
			d.Routes[i].Regions = ofRoute
		}
		d.Workspaces[0].Regions = ofWorkspace
		r.holder.Apply(route.NewTable(d))
		return r
	}
	cases := map[string]struct {
		route, workspace, ran []string
	}{
		"by the route":                   {[]string{"abuja"}, nil, []string{"plain-2"}},
		"by the workspace":               {nil, []string{"abuja"}, []string{"plain-2"}},
		"by both":                        {[]string{"lagos", "abuja"}, []string{"abuja", "accra"}, []string{"plain-2"}},
		"by both, none in common":        {[]string{"lagos"}, []string{"abuja"}, nil},
		"by a region without data halls": {[]string{"accra"}, nil, nil},
	}
	for name, c := range cases {
		It("run only in those regions: "+name, func() {
			suite.Paused(func() {
				r := newRegionRig(c.route, c.workspace)
				defer r.stop()
				for range 12 {
					a := r.ask(request("POST", "/once/1", "body"))
					if c.ran == nil {
						Expect(a.Status).To(Equal(http.StatusServiceUnavailable))
						continue
					}
					Expect(a.Status).To(Equal(http.StatusOK))
				}
				var ran []string
				for id, e := range r.endpoints {
					if len(e.Requests()) > 0 {
						ran = append(ran, id)
					}
				}
				Expect(ran).To(Equal(c.ran))
			})
		})
	}
})

var _ = Describe("a host at a cold endpoint", func() {
	// countRuns sends twenty concurrent streams to a host whose only endpoint is cold, after the host has
	// advised for the given time, and returns how many of them the endpoint ran.
	countRuns := func(earlierHosts []string, advised time.Duration) int {
		runs := 0
		suite.Paused(func() {
			r := newRig(scripts{"model-1": standin.Always(standin.Stream{Events: 1, Confidence: 90})})
			defer r.stop()
			f := fleet.New(fleet.Options{
				Hall:     "ikeja",
				WarmUp:   func(string) fleet.WarmUp { return fleet.WarmUp{Duration: 3 * time.Second, MaxRate: 20} },
				Choosers: func() fleet.Choosers { return fleet.Choosers{Hosts: 61, Advisers: 1} },
			})
			e, _ := r.fleet.Listed("model-1")
			e.Cold = 3 * time.Second
			f.Put(e)
			r.gateway.Fleet = f
			r.gateway.Advice = advice.New(advice.Options{
				Hall: "ikeja", Fleet: f, Logger: log.New(io.Discard), PrecedingHosts: func() []string { return earlierHosts },
				Conn: func(string) (grpc.ClientConnInterface, error) { return nil, net.ErrClosed },
			})
			for range advised / (100 * time.Millisecond) {
				f.Advise(fleet.Request{Service: "another", Key: 1})
				time.Sleep(100 * time.Millisecond)
			}
			var asked sync.WaitGroup
			for range 20 {
				q := request("POST", "/stream/1", "body").WithPrompt()
				asked.Go(func() { r.ask(q) })
			}
			asked.Wait()
			runs = r.runs()
		})
		return runs
	}

	It("sends only its own share while it gets no advice, and an advisor's share if it advises others", func() {
		Expect(countRuns([]string{"10.0.0.9:1"}, 0)).To(BeNumerically("<=", 1))
		Expect(countRuns(nil, 1500*time.Millisecond)).To(Equal(8))
		Expect(countRuns(nil, 0)).To(Equal(2), "a host that has just started to advise")
	})
})
