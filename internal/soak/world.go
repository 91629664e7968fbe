package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"quaybarrow/platform/standin"
)

// Size of a world besides its hosts.
const (
	plainEndpoints = 3
	modelEndpoints = 4
	// spareEndpoints of each service are there besides where some crash under requests.
	spareEndpoints = 4
)

// halls are the data halls of the hosts.
var halls = []string{"ikeja", "lekki", "yaba"}

// world is a system under test: the store's stand-in, endpoints and hosts.
type world struct {
	store   *standin.Store
	server  *http.Server
	history *history
	hosts   []*process
	ports   *portBlock
	// crashing tells that requests come under which endpoints crash.
	crashing    bool
	crashDice   dice
	limitDice   dice
	noticeDice  dice
	brittleDice dice
	carriers    sync.Map // of requests, by id

	mu           sync.Mutex // guards all below
	random       *rand.Rand
	endpoints    map[string]*endpoint
	all          []*endpoint             // also those that are gone
	traps        []*standin.Endpoint     // that entries of other writers name
	crashers     []*crasher              // requests under which endpoints crash
	namings      []naming                // limits that endpoints have named
	brittleNow   map[string]*brittleTime // by service
	brittleTimes []*brittleTime          // also those that are over
	passedOn     []passedOn              // answers that say that their endpoints leave
	version      int                     // of the newest configuration
	serial       int
}

// endpoint is an endpoint behind a proxy.
type endpoint struct {
	*standin.Endpoint
	service   string
	hall      string
	listener  net.Listener
	proxy     *proxy
	gone      chan struct{} // closed once it has ended
	ending    sync.Once
	limited   atomic.Bool  // it names a limit
	turnsAway atomic.Value // pause that it asks for while it turns all requests away; "" while it takes them

	mu     sync.Mutex // guards starts
	starts []time.Time
}

// worldBegan is the moment from which starts of endpoints are told: a while before the
// first of them, on a steady clock.
var worldBegan = time.Now().Add(-time.Hour)

// start notes a start, and returns the endpoint's entry after it.
func (e *endpoint) start() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts = append(e.starts, time.Now())
	return e.entry(standin.ColdFor, false)
}

// entry is the endpoint's entry; the caller holds mu.
func (e *endpoint) entry(cold time.Duration, draining bool) []byte {
	return standin.Entry{
		Service: e.service, Address: e.proxy.address(), Hall: e.hall, Version: "v1", Draining: draining,
		Cold: cold, Born: e.starts[len(e.starts)-1].Sub(worldBegan).Milliseconds(),
	}.Value()
}

// leaving is the endpoint's entry when it drains.
func (e *endpoint) leaving() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry(0, true)
}

// newWorld starts everything.
func newWorld(o Options, dir string) (*world, error) {
	w := &world{
		store: standin.NewStore(), history: newHistory(), random: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		endpoints: map[string]*endpoint{}, crashing: o.Crashers+o.Parts > 0,
		crashDice:   dice{random: rand.New(rand.NewPCG(o.Seed, crashStream))},
		limitDice:   dice{random: rand.New(rand.NewPCG(o.Seed, limitStream))},
		noticeDice:  dice{random: rand.New(rand.NewPCG(o.Seed, noticeStream))},
		brittleDice: dice{random: rand.New(rand.NewPCG(o.Seed, brittleStream))}, brittleNow: map[string]*brittleTime{},
	}
	ports, err := takePorts()
	if err != nil {
		return nil, fmt.Errorf("take ports: %w", err)
	}
	w.ports = ports
	l, err := ports.listen()
	if err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(l) }()
	w.configure()
	services := slices.Concat(slices.Repeat([]string{"plain"}, plainEndpoints), slices.Repeat([]string{"model"}, modelEndpoints))
	if o.Crashers+o.Parts > 0 {
		services = append(services, slices.Repeat([]string{"plain", "model"}, spareEndpoints)...)
	}
	for _, service := range services {
		if err := w.addEndpoint(service); err != nil {
			return nil, err
		}
	}
	for i := range o.Hosts {
		p, err := newProcess(o, dir, i, l.Addr().String(), w.ports)
		if err != nil {
			w.stop()
			return nil, err
		}
		w.hosts = append(w.hosts, p)
	}
	return w, nil
}

// configure brings the next version of the configuration into force.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Put(standin.TableOperator, standin.KeyDeclaration, standin.Declaration(w.version))
}

// addEndpoint starts an endpoint and lists it.
func (w *world) addEndpoint(service string) error {
	l, err := w.ports.listen()
	if err != nil {
		return fmt.Errorf("start endpoint: %w", err)
	}
	p, err := newProxy(w.ports, l.Addr().String())
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	id := fmt.Sprintf("%s-%d", service, w.serial)
	usual := w.script(service)
	e := &endpoint{
		Endpoint: standin.NewEndpoint(id, usual), service: service, hall: halls[w.serial%len(halls)], listener: l, proxy: p, gone: make(chan struct{}),
	}
	e.turnsAway.Store("")
	e.SetScript(e.answers(func(n int, r *http.Request) standin.Script {
		if s, ok := w.brittleScript(service, r); ok {
			return s
		}
		return usual(n, r)
	}))
	w.endpoints[id] = e
	w.all = append(w.all, e)
	go e.Serve(l)
	go w.watch(e)
	w.store.Put(standin.TableEndpoints, id, e.start())
	return nil
}

// unsizedEvery is how many responses there are to one that states no length.
const unsizedEvery = 8

// isUnsized reports whether the response to a request has neither a length nor chunks.
func isUnsized(r *http.Request) bool {
	return xxhash.Sum64String(standin.RequestID(r))%unsizedEvery == 0
}

// script makes an endpoint's answers: most are good, some go wrong.
func (w *world) script(service string) func(int, *http.Request) standin.Script {
	seed := w.random.Uint64()
	random := rand.New(rand.NewPCG(seed, seed))
	return func(_ int, r *http.Request) standin.Script {
		if s, ok := w.crashScript(service, r); ok {
			return s
		}
		dice := random.Float64()
		if service == "model" {
			s := standin.Stream{Events: streamEvents, Confidence: random.IntN(100), Gap: 10 * time.Millisecond, Unsized: isUnsized(r)}
			if dice < 0.05 {
				s.BreakAfter = 1 + random.IntN(streamEvents-1)
			}
			return s
		}
		good := standin.Reply{Status: 200, Body: bodyOf(standin.RequestID(r)), Delay: time.Duration(random.IntN(40)) * time.Millisecond, Unsized: isUnsized(r)}
		switch {
		case dice < 0.02:
			return standin.Reset{}
		case dice < 0.04:
			return standin.Reply{Status: 500, Body: "failed"}
		case dice < 0.05:
			good.Cut, good.Unsized = 3, false
		case dice < 0.06:
			good.Unsized, good.Extra = false, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
		case dice < 0.07:
			good.Stray = true
		case dice < 0.08:
			good.Unsized = true
		case dice < 0.09:
			good.Close = true
		}
		return good
	}
}

// name is an id of this soak for a request or the like; no other soak has the same.
func (w *world) name(kind string) string { return fmt.Sprint(w.ports.name(), kind, serial.Add(1)) }

// runs counts how often endpoints ran each id; what an endpoint rejects it does not run.
func (w *world) runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for _, e := range w.all {
		for _, s := range e.Requests() {
			if !s.Rejected && !s.NotRun {
				counts[s.ID()]++
			}
		}
	}
	return counts
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, p := range w.hosts {
		for !p.ready(ctx) {
			if !sleep(ctx, 50*time.Millisecond) {
				return errors.Errorf("%s is not ready", p.name)
			}
		}
	}
	return nil
}

// stop ends everything that the world started.
func (w *world) stop() {
	for _, p := range w.hosts {
		p.end()
	}
	_ = w.server.Close()
	_ = w.ports.taken.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		e.end()
	}
}

func (e *endpoint) end() {
	e.ending.Do(func() {
		close(e.gone)
		_ = e.listener.Close()
		e.proxy.close()
	})
}
