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

// seenWithin is how soon a host follows the store.
const seenWithin = 2 * time.Second

// site is a host, its store and an endpoint in each of two data halls.
type site struct {
	*system
	endpoints map[string]*standin.Endpoint
	log       *safeBuffer
}

// onSite runs a body beside a host of two data halls.
func onSite(body func(s *site)) {
	suite.Paused(func() {
		s := &site{system: &system{net: memnet.New(), store: standin.NewStore()}, endpoints: map[string]*standin.Endpoint{}, log: &safeBuffer{}}
		server := &http.Server{Handler: s.store}
		storeListener := s.net.Listen(storeAddress)
		go func() { _ = server.Serve(storeListener) }()
		for _, hall := range []string{"ikeja", "lekki"} {
			e := standin.NewEndpoint("of-"+hall, standin.Always(good))
			s.endpoints[hall] = e
			l := s.net.Listen(addressIn(hall))
			defer func() { _ = l.Close() }()
			go e.Serve(l)
		}
		s.start(hostSettings())
		s.declare()
		s.put("ikeja")
		s.put("lekki")
		time.Sleep(seenWithin)
		body(s)
		Expect(s.app.Stop(context.Background())).To(Succeed())
		_ = server.Close()
		time.Sleep(5 * time.Minute)
	})
}

func addressIn(hall string) string {
	return map[string]string{"ikeja": "10.0.1.1:80", "lekki": "10.0.2.1:80"}[hall]
}

func (s *site) start(o settings.Settings) {
	o.Gateway.Halls = map[string]string{"ikeja": "lagos", "lekki": "lagos"}
	s.app = fx.New(gatewayd.Module(o, gatewayd.Ports{
		Store: platform.NewStore(storeAddress, s.net.Dial), LogTo: s.log, Dial: s.net.Dial,
		Listen: func(_ context.Context, address string) (net.Listener, error) { return s.net.Listen(address), nil },
	}))
	Expect(s.app.Start(context.Background())).To(Succeed())
}

func (s *site) restart() {
	Expect(s.app.Stop(context.Background())).To(Succeed())
	s.start(hostSettings())
	time.Sleep(seenWithin)
}

func (s *site) put(hall string) {
	s.store.Put("servers", "of-"+hall, standin.EndpointValue("s", addressIn(hall), hall, "v1", false))
}

// served asks some times and counts the answers by data hall; "none" counts refusals.
func (s *site) served() map[string]int {
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

func (s *site) evacuate(hall string) { s.store.Put("op", standin.EvacuationKey(hall), []byte("{}")) }
func (s *site) takeBack(hall string) { s.store.Delete("op", standin.EvacuationKey(hall)) }

var _ = Describe("a host whose operators evacuate data halls", func() {
	elsewhere := map[string]int{"lekki": 12}
	near := map[string]int{"ikeja": 12}
	cases := map[string]struct {
		do   func(s *site)
		want map[string]int
	}{
		"one":                  {func(s *site) { s.evacuate("ikeja") }, elsewhere},
		"one that nobody has":  {func(s *site) { s.evacuate("nowhere") }, near},
		"all":                  {func(s *site) { s.evacuate("ikeja"); s.evacuate("lekki") }, map[string]int{"none": 12}},
		"both, one taken back": {func(s *site) { s.evacuate("ikeja"); s.evacuate("lekki"); s.takeBack("lekki") }, elsewhere},
		"one, taken back":      {func(s *site) { s.evacuate("ikeja"); time.Sleep(time.Second); s.takeBack("ikeja") }, near},
		"again within a second": {func(s *site) {
			s.evacuate("ikeja")
			s.takeBack("ikeja")
			time.Sleep(300 * time.Millisecond)
			s.evacuate("ikeja")
		}, elsewhere},
		"before the host starts": {func(s *site) { s.evacuate("ikeja"); s.restart() }, elsewhere},
		"and take it back while the host is down": {func(s *site) {
			s.evacuate("ikeja")
			time.Sleep(time.Second)
			Expect(s.app.Stop(context.Background())).To(Succeed())
			s.takeBack("ikeja")
			s.start(hostSettings())
		}, near},
		"and take it back unheard": {func(s *site) {
			s.evacuate("ikeja")
			time.Sleep(seenWithin)
			s.store.SetFault(standin.Silent)
			time.Sleep(time.Second)
			s.takeBack("ikeja")
			s.store.Compact()
			s.store.SetFault(standin.Healthy)
			time.Sleep(seenWithin)
		}, near},
		"and add an endpoint there": {func(s *site) {
			s.evacuate("ikeja")
			time.Sleep(time.Second)
			s.put("ikeja")
		}, elsewhere},
	}
	for name, c := range cases {
		It("follows: "+name, func() {
			onSite(func(s *site) {
				c.do(s)
				time.Sleep(seenWithin)
				Expect(s.served()).To(Equal(c.want))
			})
		})
	}
})

var _ = Describe("a host's view of endpoints", func() {
	It("tells which data halls are evacuated and which endpoints are cold, and since when", func() {
		onSite(func(s *site) {
			s.evacuate("ikeja")
			s.store.Put("servers", "of-lekki", standin.Entry{
				Service: "s", Address: addressIn("lekki"), Hall: "lekki", Version: "v1", Cold: 5 * time.Second, Born: 1000,
			}.Value())
			time.Sleep(seenWithin)
			status, text := s.get(controlAddress, gatewayd.PathEndpoints)
			Expect(status).To(Equal(http.StatusOK))
			var view gatewayd.EndpointsView
			Expect(json.Unmarshal([]byte(text), &view)).To(Succeed())
			Expect(view.Host).To(Equal("front-1"))
			Expect(view.Evacuated).To(HaveLen(1))
			Expect(view.Evacuated[0].Hall).To(Equal("ikeja"))
			Expect(time.Since(view.Evacuated[0].Since)).To(BeNumerically("~", seenWithin, time.Second))
			Expect(view.Endpoints).To(HaveLen(2))
			Expect(view.Endpoints[0].Evacuated).To(BeTrue())
			Expect(view.Endpoints[0].ColdSince).To(BeNil())
			Expect(view.Endpoints[1].ColdSince).NotTo(BeNil())
			Expect(view.Endpoints[1].ColdMs).To(BeNumerically(">", 2000))
		})
	})
})

var _ = Describe("a host among whose endpoints others write", func() {
	for name, text := range map[string]string{
		"bytes that can't be read": "\xff{",
		"a state nobody knows":     `{"service":"s","address":"10.0.1.1:80","zone":"ikeja","version":"v1","slots":8,"state":"well","cold_left_ms":0,"seq":1}`,
		"a field of another type":  `{"service":"s","address":"10.0.1.1:80","zone":"ikeja","version":"v1","slots":"8","state":"ready","cold_left_ms":0,"seq":1}`,
		"a hall that nobody has":   `{"service":"s","address":"10.0.1.1:80","zone":"nowhere","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1}`,
		"an unknown service":       `{"service":"t","address":"10.0.1.1:80","zone":"ikeja","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":1}`,
	} {
		It("uses no endpoint of theirs, also where a good entry stood: "+name, func() {
			onSite(func(s *site) {
				s.store.Put("servers", "stranger", []byte(text))
				s.store.Put("servers", "of-ikeja", []byte(text))
				time.Sleep(seenWithin)
				Expect(s.served()).To(Equal(map[string]int{"lekki": 12}))
				s.restart()
				Expect(s.served()).To(Equal(map[string]int{"lekki": 12}), "read whole")
				s.put("ikeja")
				time.Sleep(seenWithin)
				Expect(s.served()).To(Equal(map[string]int{"ikeja": 12}), "the endpoint writes again")
			})
		})
	}

	It("says so once a change", func() {
		onSite(func(s *site) {
			for n := range 3 {
				s.store.Put("servers", "stranger", []byte(fmt.Sprint(n)))
				time.Sleep(seenWithin)
			}
			Expect(strings.Count(s.log.text(), "names no endpoint to use")).To(Equal(3))
		})
	})

	It("keeps its configuration when one comes that can't be read", func() {
		onSite(func(s *site) {
			s.store.Put("op", "config", []byte(`{"version":9,"routes":7}`))
			s.store.Put("op", "rollout/s", []byte(`[]`))
			time.Sleep(seenWithin)
			Expect(s.served()).To(Equal(map[string]int{"ikeja": 12}))
		})
	})
})

var _ = Describe("a host whose endpoint starts again under its name", func() {
	It("sends to the new start on new connections, by the same name", func() {
		onSite(func(s *site) {
			s.store.Delete("servers", "of-lekki")
			at := func(born int64) {
				s.store.Put("servers", "of-ikeja", standin.Entry{Service: "s", Address: addressIn("ikeja"), Hall: "ikeja", Version: "v1", Born: born}.Value())
				time.Sleep(seenWithin)
			}
			at(1000)
			Expect(s.served()).To(Equal(map[string]int{"ikeja": 12}))
			e := s.endpoints["ikeja"]
			before := e.Connections()
			Expect(s.served()).To(Equal(map[string]int{"ikeja": 12}))
			Expect(e.Connections()).To(Equal(before), "kept ones are used")
			at(2000)
			Expect(s.served()).To(Equal(map[string]int{"ikeja": 12}))
			Expect(e.Connections()).To(BeNumerically(">", before))
			for _, seen := range e.Requests() {
				Expect(seen.For()).To(Equal("of-ikeja"))
			}
		})
	})
})
