package gatewayd_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing/synctest"
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

// Addresses of the system under test.
const (
	storeAddress    = "10.9.0.1:80"
	endpointAddress = "10.0.1.1:80"
	callersAddress  = "10.0.0.1:80"
	readyAddress    = "10.0.0.1:81"
	controlAddress  = "10.0.0.1:82"
	peersAddress    = "10.0.0.1:83"
)

const declaration = `{"version":1,"routes":[{"name":"r","host":"a.example","path_prefix":"/x/","kind":"non_idempotent","timeout_ms":20000,
"target_latency_ms":300,"service":"s","max_attempts":1,"public":true}],"services":[{"name":"s","max_conns":96}],"limits":{"idle_timeout_ms":15000}}`

// system is a host with its network, a store and an endpoint.
type system struct {
	net      *memnet.Network
	store    *standin.Store
	endpoint *standin.Endpoint
	app      *fx.App
}

func hostSettings() settings.Settings {
	s := settings.Default()
	s.Host, s.DataHall, s.Region = "front-1", "ikeja", "lagos"
	s.Gateway = settings.Gateway{
		Callers: callersAddress, Ready: readyAddress, Control: controlAddress, Peers: peersAddress, Store: storeAddress,
		MemoryMB: 200, RetryRatio: 0.9, Grace: 8 * time.Second, InForce: 2 * time.Second, Leaving: 2 * time.Second, Cores: 0.4,
	}
	return s
}

// withHost runs body with a started host, under a paused clock.
func withHost(script standin.Script, body func(s *system)) {
	suite.Paused(func() {
		s := &system{net: memnet.New(), store: standin.NewStore(), endpoint: standin.NewEndpoint("e-1", standin.Always(script))}
		server := &http.Server{Handler: s.store}
		storeListener, endpointListener := s.net.Listen(storeAddress), s.net.Listen(endpointAddress)
		go func() { _ = server.Serve(storeListener) }()
		go s.endpoint.Serve(endpointListener)
		s.app = fx.New(gatewayd.Module(hostSettings(), gatewayd.Ports{
			Store: platform.NewStore(storeAddress, s.net.Dial), LogTo: io.Discard, Dial: s.net.Dial,
			Listen: func(_ context.Context, address string) (net.Listener, error) { return s.net.Listen(address), nil },
		}))
		Expect(s.app.Start(context.Background())).To(Succeed())
		body(s)
		Expect(s.app.Stop(context.Background())).To(Succeed())
		_ = server.Close()
		_ = endpointListener.Close()
		time.Sleep(5 * time.Minute)
	})
}

func (s *system) putDeclaration() {
	s.store.Put("op", "config", []byte(declaration))
}

func (s *system) listEndpoint() {
	s.store.Put("servers", "e-1", standin.EndpointValue("s", endpointAddress, "ikeja", "v1", false))
}

// get sends a GET request and returns status and body, or 0 and the error if there is no response.
func (s *system) get(address, path string) (int, string) {
	client := &http.Client{Transport: s.net.Transport()}
	defer client.CloseIdleConnections()
	r, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	body, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(body)
}

var request = standin.NewRequest("POST", "/x/1", "x").WithKey("").Text()

// connect opens a caller's connection.
func (s *system) connect() (net.Conn, *bufio.Reader) {
	c, err := s.net.Dial(context.Background(), "tcp", callersAddress)
	Expect(err).NotTo(HaveOccurred())
	return c, bufio.NewReader(c)
}

var okReply = standin.Reply{Status: 200, Body: "done"}

var _ = Describe("a host", func() {
	It("is ready once it knows a configuration and endpoints", func() {
		withHost(okReply, func(s *system) {
			status, reason := s.get(readyAddress, "/-/readiness")
			Expect(status).To(Equal(503))
			Expect(reason).To(ContainSubstring("no configuration"))
			s.putDeclaration()
			time.Sleep(10 * time.Millisecond)
			status, reason = s.get(readyAddress, "/-/readiness")
			Expect(status).To(Equal(503))
			Expect(reason).To(ContainSubstring("no endpoints"))
			s.listEndpoint()
			time.Sleep(10 * time.Millisecond)
			status, _ = s.get(readyAddress, "/-/readiness")
			Expect(status).To(Equal(200))
		})
	})

	It("serves requests and exposes its metrics", func() {
		withHost(okReply, func(s *system) {
			s.putDeclaration()
			s.listEndpoint()
			time.Sleep(10 * time.Millisecond)
			c, reader := s.connect()
			defer func() { _ = c.Close() }()
			go func() { _, _ = io.WriteString(c, request) }()
			r, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.StatusCode).To(Equal(200))
			_, _ = io.ReadAll(r.Body)
			_, metrics := s.get(controlAddress, "/metrics")
			Expect(metrics).To(ContainSubstring("quaybarrow_config_version 1"))
			Expect(metrics).To(ContainSubstring("routed_request"))
		})
	})

	It("closes idle connections within the grace period when it stops", func() {
		withHost(okReply, func(s *system) {
			s.putDeclaration()
			s.listEndpoint()
			time.Sleep(10 * time.Millisecond)
			c, reader := s.connect()
			defer func() { _ = c.Close() }()
			stopping := make(chan error)
			go func() { stopping <- s.app.Stop(context.Background()) }()
			start := time.Now()
			synctest.Wait() // waits until the stop has begun; the clock does not advance
			status, _ := s.get(readyAddress, "/-/readiness")
			Expect(status).To(Equal(503))
			_, err := reader.Peek(1)
			Expect(err).To(HaveOccurred())
			Expect(time.Since(start)).To(BeNumerically("<=", 8*time.Second))
			Expect(<-stopping).To(Succeed())
		})
	})

	It("finishes requests in flight when it stops", func() {
		slow := standin.Reply{Status: 200, Body: "late", Delay: 5 * time.Second}
		withHost(slow, func(s *system) {
			s.putDeclaration()
			s.listEndpoint()
			time.Sleep(10 * time.Millisecond)
			c, reader := s.connect()
			defer func() { _ = c.Close() }()
			go func() { _, _ = io.WriteString(c, request) }()
			time.Sleep(100 * time.Millisecond)
			stopping := make(chan error)
			go func() { stopping <- s.app.Stop(context.Background()) }()
			r, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			body, _ := io.ReadAll(r.Body)
			Expect(string(body)).To(Equal("late"))
			Expect(<-stopping).To(Succeed())
		})
	})
})

// Guards against requests that are taken so late in a stop that they are cut without an answer.
var _ = Describe("a stopping host", func() {
	for name, c := range map[string]struct {
		began, last time.Duration // when the request begins and ends, from the stop on
		status      int
		runs        int
	}{
		"takes a request that is read in time":                   {0, 2 * time.Second, http.StatusOK, 1},
		"refuses a request that is read later":                   {0, 5 * time.Second, http.StatusServiceUnavailable, 0},
		"refuses a request that begins before and is read later": {-time.Second, 5 * time.Second, http.StatusServiceUnavailable, 0},
		"answers a request that it cuts at the end of its grace": {0, 2400 * time.Millisecond, http.StatusBadGateway, 1},
	} {
		It(name, func() {
			delay := 3 * time.Second
			if c.status == http.StatusBadGateway {
				delay = 10 * time.Second
			}
			withHost(standin.Reply{Status: 200, Body: "late", Delay: delay}, func(s *system) {
				s.putDeclaration()
				s.listEndpoint()
				time.Sleep(10 * time.Millisecond)
				conn, reader := s.connect()
				defer func() { _ = conn.Close() }()
				stopping := make(chan error, 1)
				stop := func() { stopping <- s.app.Stop(context.Background()) }
				begin := func() { _, _ = io.WriteString(conn, request[:len(request)-1]) }
				if c.began < 0 {
					go begin()
					time.Sleep(-c.began)
					go stop()
				} else {
					go stop()
					time.Sleep(c.began + time.Millisecond)
					go begin()
				}
				start := time.Now()
				time.Sleep(c.last)
				_, _ = io.WriteString(conn, request[len(request)-1:])
				r, err := http.ReadResponse(reader, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(r.StatusCode).To(Equal(c.status))
				Expect(<-stopping).To(Succeed())
				Expect(time.Since(start)).To(BeNumerically("<=", 8*time.Second))
				Expect(s.endpoint.Requests()).To(HaveLen(c.runs))
			})
		})
	}
})

var _ = Describe("changed settings", func() {
	It("are applied with and without a signal, and invalid ones are not", func() {
		var next atomic.Pointer[settings.Settings]
		var failing atomic.Bool
		change := func(to func(s *settings.Settings)) {
			s := hostSettings()
			to(&s)
			next.Store(&s)
		}
		change(func(*settings.Settings) {})
		suite.Paused(func() {
			hangup := make(chan os.Signal)
			s := &system{net: memnet.New(), store: standin.NewStore()}
			server := &http.Server{Handler: s.store}
			l := s.net.Listen(storeAddress)
			go func() { _ = server.Serve(l) }()
			var log safeBuffer
			app := fx.New(gatewayd.Module(hostSettings(), gatewayd.Ports{
				Store: platform.NewStore(storeAddress, s.net.Dial), LogTo: &log, Dial: s.net.Dial, Hangup: hangup,
				Listen: func(_ context.Context, address string) (net.Listener, error) { return s.net.Listen(address), nil },
				Reload: func() (settings.Settings, error) {
					if failing.Load() {
						return settings.Settings{}, io.ErrUnexpectedEOF
					}
					return *next.Load(), nil
				},
			}))
			Expect(app.Start(context.Background())).To(Succeed())
			hangup <- syscall.SIGHUP
			time.Sleep(time.Second)
			Expect(log.text()).To(ContainSubstring("nothing changed"))
			failing.Store(true)
			hangup <- syscall.SIGHUP
			time.Sleep(time.Second)
			Expect(log.text()).To(ContainSubstring("the old ones stay in force"))
			failing.Store(false)
			change(func(s *settings.Settings) { s.Gateway.Grace = 4 * time.Second })
			time.Sleep(6 * time.Second)
			Expect(log.text()).To(ContainSubstring(`"settings changed","host":"front-1","signal":false,"restart_needed":false`))
			change(func(s *settings.Settings) { s.Gateway.Store = "10.9.0.2:80" })
			hangup <- syscall.SIGHUP
			time.Sleep(time.Second)
			Expect(log.text()).To(ContainSubstring(`"signal":true,"restart_needed":true`))
			Expect(app.Stop(context.Background())).To(Succeed())
			_ = server.Close()
			time.Sleep(5 * time.Minute)
		})
	})
})

// safeBuffer is a buffer that is safe for concurrent use.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

var _ = Describe("the settings' template", func() {
	It("has a line for each setting of the gateway that has no default", func() {
		text, err := os.ReadFile("../../deploy/settings.yaml.tmpl")
		Expect(err).NotTo(HaveOccurred())
		for _, field := range []string{"callers", "ready", "control", "peers", "store", "memory_mb", "retry_ratio", "grace"} {
			Expect(strings.Contains(string(text), "\n  "+field+": ")).To(BeTrue(), field)
		}
	})
})
