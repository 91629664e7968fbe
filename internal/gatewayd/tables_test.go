package gatewayd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"quaybarrow/internal/gatewayd"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform"
	"quaybarrow/platform/standin"
)

// followWithin is the time within which a host applies changes of the store.
const followWithin = 2 * time.Second

// twoHallSystem is a host with its store and an endpoint in each of two data halls.
type twoHallSystem struct {
	*system
	endpoints map[string]*standin.Endpoint
	log       *safeBuffer
}

// withTwoHalls runs body with a host that knows two data halls.
func withTwoHalls(body func(s *twoHallSystem)) {
	suite.Paused(func() {
		s := &twoHallSystem{system: &system{net: memnet.New(), store: standin.NewStore()}, endpoints: map[string]*standin.Endpoint{}, log: &safeBuffer{}}
		server := &http.Server{Handler: s.store}
		storeListener := s.net.Listen(storeAddress)
		go func() { _ = server.Serve(storeListener) }()
		for _, hall := range []string{"ikeja", "lekki"} {
			e := standin.NewEndpoint("of-"+hall, standin.Always(okReply))
			s.endpoints[hall] = e
			l := s.net.Listen(addressIn(hall))
			defer func() { _ = l.Close() }()
			go e.Serve(l)
		}
		s.start(hostSettings())
		s.putDeclaration()
		s.listEndpointIn("ikeja")
		s.listEndpointIn("lekki")
		time.Sleep(followWithin)
		body(s)
		Expect(s.app.Stop(context.Background())).To(Succeed())
		_ = server.Close()
		time.Sleep(5 * time.Minute)
	})
}

func addressIn(hall string) string {
	return map[string]string{"ikeja": "10.0.1.1:80", "lekki": "10.0.2.1:80"}[hall]
}

func (s *twoHallSystem) start(o settings.Settings) {
	o.Gateway.Halls = map[string]string{"ikeja": "lagos", "lekki": "lagos"}
	s.app = fx.New(gatewayd.Module(o, gatewayd.Ports{
		Store: platform.NewStore(storeAddress, s.net.Dial), LogTo: s.log, Dial: s.net.Dial,
		Listen: func(_ context.Context, address string) (net.Listener, error) { return s.net.Listen(address), nil },
	}))
	Expect(s.app.Start(context.Background())).To(Succeed())
}

func (s *twoHallSystem) restart() {
	Expect(s.app.Stop(context.Background())).To(Succeed())
	s.start(hostSettings())
	time.Sleep(followWithin)
}

func (s *twoHallSystem) listEndpointIn(hall string) {
	s.store.Put("servers", "of-"+hall, standin.EndpointValue("s", addressIn(hall), hall, "v1", false))
}

// served sends 12 requests and counts those that arrive, by data hall; "none" counts other statuses than 200.
func (s *twoHallSystem) served() map[string]int {
	before := map[string]int{}
	for hall, e := range s.endpoints {
		before[hall] = len(e.Requests())
	}
	counts := map[string]int{}
	for range 12 {
		c, reader := s.connect()
		go func() { _, _ = io.WriteString(c, request) }()
		r, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.ReadAll(r.Body)
		if r.StatusCode != http.StatusOK {
			counts["none"]++
		}
		_ = c.Close()
	}
	for hall, e := range s.endpoints {
		if n := len(e.Requests()) - before[hall]; n > 0 {
			counts[hall] = n
		}
	}
	return counts
}

func (s *twoHallSystem) evacuate(hall string) {
	s.store.Put("op", standin.EvacuationKey(hall), []byte("{}"))
}
func (s *twoHallSystem) endEvacuation(hall string) { s.store.Delete("op", standin.EvacuationKey(hall)) }

var _ = Describe("a host whose operators evacuate data halls", func() {
	onlyLekki := map[string]int{"lekki": 12}
	onlyIkeja := map[string]int{"ikeja": 12}
	cases := map[string]struct {
		do   func(s *twoHallSystem)
		want map[string]int
	}{
		"one":                 {func(s *twoHallSystem) { s.evacuate("ikeja") }, onlyLekki},
		"an unknown one":      {func(s *twoHallSystem) { s.evacuate("nowhere") }, onlyIkeja},
		"all":                 {func(s *twoHallSystem) { s.evacuate("ikeja"); s.evacuate("lekki") }, map[string]int{"none": 12}},
		"both, one withdrawn": {func(s *twoHallSystem) { s.evacuate("ikeja"); s.evacuate("lekki"); s.endEvacuation("lekki") }, onlyLekki},
		"one, then withdrawn": {func(s *twoHallSystem) { s.evacuate("ikeja"); time.Sleep(time.Second); s.endEvacuation("ikeja") }, onlyIkeja},
		"again within a second": {func(s *twoHallSystem) {
			s.evacuate("ikeja")
			s.endEvacuation("ikeja")
			time.Sleep(300 * time.Millisecond)
			s.evacuate("ikeja")
		}, onlyLekki},
		"before the host starts": {func(s *twoHallSystem) { s.evacuate("ikeja"); s.restart() }, onlyLekki},
		"and withdraw it while the host is down": {func(s *twoHallSystem) {
			s.evacuate("ikeja")
			time.Sleep(time.Second)
			Expect(s.app.Stop(context.Background())).To(Succeed())
			s.endEvacuation("ikeja")
			s.start(hostSettings())
		}, onlyIkeja},
		"and withdraw it during a store outage": {func(s *twoHallSystem) {
			s.evacuate("ikeja")
			time.Sleep(followWithin)
			s.store.SetFault(standin.Silent)
			time.Sleep(time.Second)
			s.endEvacuation("ikeja")
			s.store.Compact()
			s.store.SetFault(standin.Healthy)
			time.Sleep(followWithin)
		}, onlyIkeja},
		"and add an endpoint there": {func(s *twoHallSystem) {
			s.evacuate("ikeja")
			time.Sleep(time.Second)
			s.listEndpointIn("ikeja")
		}, onlyLekki},
	}
	for name, c := range cases {
		It("follows an evacuation: "+name, func() {
			withTwoHalls(func(s *twoHallSystem) {
				c.do(s)
				time.Sleep(followWithin)
				Expect(s.served()).To(Equal(c.want))
			})
		})
	}
})

var _ = Describe("a host's view of endpoints", func() {
	It("shows which data halls are evacuated and which endpoints are cold, and since when", func() {
		withTwoHalls(func(s *twoHallSystem) {
			s.evacuate("ikeja")
			s.store.Put("servers", "of-lekki", standin.Entry{
				Service: "s", Address: addressIn("lekki"), Hall: "lekki", Version: "v1", Cold: 5 * time.Second, Born: 1000,
			}.Value())
			time.Sleep(followWithin)
			status, text := s.get(controlAddress, gatewayd.PathEndpoints)
			Expect(status).To(Equal(http.StatusOK))
			var view gatewayd.EndpointsView
			Expect(json.Unmarshal([]byte(text), &view)).To(Succeed())
			Expect(view.Host).To(Equal("front-1"))
			Expect(view.Evacuated).To(HaveLen(1))
			Expect(view.Evacuated[0].Hall).To(Equal("ikeja"))
			Expect(time.Since(view.Evacuated[0].Since)).To(BeNumerically("~", followWithin, time.Second))
			Expect(view.Endpoints).To(HaveLen(2))
			Expect(view.Endpoints[0].Evacuated).To(BeTrue())
			Expect(view.Endpoints[0].ColdSince).To(BeNil())
			Expect(view.Endpoints[1].ColdSince).NotTo(BeNil())
			Expect(view.Endpoints[1].ColdMs).To(BeNumerically(">", 2000))
		})
	})
})

var _ = Describe("a host with invalid entries in the endpoints table", func() {
	for name, text := range map[string]string{
		"bytes that can't be read": "\xff{",
		"an unknown state":         `{"service":"s","address":"10.0.1.1:80","zone":"ikeja","version":"v1","slots":8,"state":"well","cold_left_ms":0,"seq":1}`,
		"a field of another type":  `{"service":"s","address":"10.0.1.1:80","zone":"ikeja","version":"v1","slots":"8","state":"ready","cold_left_ms":0,"seq":1}`,
		"an unknown hall":          `{"service":"s","address":"10.0.1.1:80","zone":"nowhere","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1}`,
		"an unknown service":       `{"service":"t","address":"10.0.1.1:80","zone":"ikeja","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1}`,
	} {
		It("uses no endpoint with an invalid entry, nor one whose valid entry was overwritten: "+name, func() {
			withTwoHalls(func(s *twoHallSystem) {
				s.store.Put("servers", "stranger", []byte(text))
				s.store.Put("servers", "of-ikeja", []byte(text))
				time.Sleep(followWithin)
				Expect(s.served()).To(Equal(map[string]int{"lekki": 12}))
				s.restart()
				Expect(s.served()).To(Equal(map[string]int{"lekki": 12}), "after reading the whole table")
				s.listEndpointIn("ikeja")
				time.Sleep(followWithin)
				Expect(s.served()).To(Equal(map[string]int{"ikeja": 12}), "the endpoint writes again")
			})
		})
	}

	It("logs each invalid change once", func() {
		withTwoHalls(func(s *twoHallSystem) {
			for n := range 3 {
				s.store.Put("servers", "stranger", []byte(fmt.Sprint(n)))
				time.Sleep(followWithin)
			}
			Expect(strings.Count(s.log.text(), "names no endpoint to use")).To(Equal(3))
		})
	})

	It("keeps its configuration when the new one can't be read", func() {
		withTwoHalls(func(s *twoHallSystem) {
			s.store.Put("op", "config", []byte(`{"version":9,"routes":7}`))
			s.store.Put("op", "rollout/s", []byte(`[]`))
			time.Sleep(followWithin)
			Expect(s.served()).To(Equal(map[string]int{"ikeja": 12}))
		})
	})
})

var _ = Describe("a host whose endpoint restarts under the same name", func() {
	It("sends to the restarted endpoint on new connections, under the same name", func() {
		withTwoHalls(func(s *twoHallSystem) {
			s.store.Delete("servers", "of-lekki")
			at := func(born int64) {
				s.store.Put("servers", "of-ikeja", standin.Entry{Service: "s", Address: addressIn("ikeja"), Hall: "ikeja", Version: "v1", Born: born}.Value())
				time.Sleep(followWithin)
			}
			at(1000)
			Expect(s.served()).To(Equal(map[string]int{"ikeja": 12}))
			e := s.endpoints["ikeja"]
			before := e.Connections()
			Expect(s.served()).To(Equal(map[string]int{"ikeja": 12}))
			Expect(e.Connections()).To(Equal(before), "idle connections are reused")
			at(2000)
			Expect(s.served()).To(Equal(map[string]int{"ikeja": 12}))
			Expect(e.Connections()).To(BeNumerically(">", before))
			for _, seen := range e.Requests() {
				Expect(seen.For()).To(Equal("of-ikeja"))
			}
		})
	})
})
