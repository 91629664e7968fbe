// Package endpoint knows the engines and plain services that a host may send
// work to: which there are, what they serve, how loaded and how well they are.
//
// # Usage
//
//	pool := endpoint.NewPool(options)
//	go pool.Run(ctx)
//	...
//	reserved, ok := pool.Pick(endpoint.Ask{Version: ref})
//	defer reserved.Done(outcome)
//
// The platform's list says which endpoints there are and which are leaving; an
// endpoint's own report says so sooner. A host watches only a bounded subset of
// the engines, so that its reports do not grow with the fleet.
package endpoint

import (
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/declare"
	"quaybarrow/internal/place"
	"quaybarrow/internal/store"
)

// DefaultSubset is how many engines a host watches at most.
const DefaultSubset = 32

// Options set up a Pool.
type Options struct {
	Host   string
	Hall   string
	Subset int // 0 means DefaultSubset
	Period time.Duration
	// List returns the platform's list as last read.
	List func() []store.Host
	// Hosts counts the live hosts of the router; nil means one.
	Hosts func() int
	// Fetch reads an engine's load report.
	Fetch Fetcher
}

// state is what the pool knows of one endpoint.
type state struct {
	host     store.Host
	report   Report
	reported time.Time // when the report was asked for; zero if never
	mine     int       // in flight when the report was asked for
	flying   int
	health   Health
}

// Pool is a host's endpoints.
type Pool struct {
	options Options

	mu     sync.Mutex // guards all below
	states map[string]*state
	share  float64 // part of all engines that a host watches
}

// NewPool returns a pool without endpoints.
func NewPool(options Options) *Pool {
	if options.Subset == 0 {
		options.Subset = DefaultSubset
	}
	return &Pool{options: options, states: map[string]*state{}}
}

// Sync takes in the platform's list.
func (p *Pool) Sync() {
	all := p.options.List()
	hosts := Subset(all, p.options.Host, p.options.Hall, p.options.Subset)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = float64(engineCount(hosts)) / float64(max(engineCount(all), 1))
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
		s, ok := p.states[h.ID]
		if !ok || s.host.Address != h.Address {
			s = &state{}
			p.states[h.ID] = s
		}
		s.host = h
	}
	for id, s := range p.states {
		if !listed[id] {
			s.host.State = store.HostLeaving
			if s.flying == 0 {
				delete(p.states, id)
			}
		}
	}
}

func engineCount(hosts []store.Host) int {
	count := 0
	for _, h := range hosts {
		if h.Kind == store.HostEngine {
			count++
		}
	}
	return count
}

// sharersLocked is how many hosts send to a watched endpoint, this one included;
// the caller holds mu.
func (p *Pool) sharersLocked(service string) int {
	if p.options.Hosts == nil {
		return 1
	}
	if service != "" {
		return p.options.Hosts()
	}
	return max(int(math.Round(float64(p.options.Hosts())*p.share)), 1)
}

// Subset picks the endpoints that a host watches: every plain service, and of
// the engines at most limit, half of them in the host's own data hall where
// there are so many, by rendezvous weight so that hosts spread evenly.
func Subset(hosts []store.Host, self, hall string, limit int) []store.Host {
	var kept, near, far []store.Host
	for _, h := range hosts {
		switch {
		case h.Kind == store.HostService:
			kept = append(kept, h)
		case h.Kind != store.HostEngine:
		case h.DataHall == hall:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	if len(near)+len(far) <= limit {
		return append(append(kept, near...), far...)
	}
	byWeight(near, self)
	byWeight(far, self)
	nearby := min(len(near), max(limit/2, limit-len(far)))
	kept = append(kept, near[:nearby]...)
	return append(kept, far[:limit-nearby]...)
}

func byWeight(hosts []store.Host, self string) {
	sort.Slice(hosts, func(i, j int) bool {
		return xxhash.Sum64String(self+"\x00"+hosts[i].ID) > xxhash.Sum64String(self+"\x00"+hosts[j].ID)
	})
}

// Reservation is an endpoint chosen for one attempt; Done must be called.
type Reservation struct {
	ID      string
	Address string

	pool *Pool
	once sync.Once
}

// Ask is what an attempt needs of the pool.
type Ask struct {
	Service string // plain service; empty for engines
	Version declare.Ref
	Prefix  uint64 // hash of the prompt's prefix; 0 if none
	Avoid   []string
}

// Pick chooses an endpoint and counts the attempt as in flight.
func (p *Pool) Pick(ask Ask) (*Reservation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoints := p.viewLocked(ask.Service, time.Now())
	want := place.Ask{Version: ask.Version, Hall: p.options.Hall, Prefix: ask.Prefix, Avoid: ask.Avoid, Sharers: p.sharersLocked(ask.Service)}
	i := place.Pick(endpoints, want, rand.Float64())
	if i < 0 {
		return nil, false
	}
	chosen := endpoints[i]
	p.states[chosen.ID].flying++
	return &Reservation{ID: chosen.ID, Address: chosen.Address, pool: p}, true
}

// Has reports whether some endpoint serves a version and takes new work.
func (p *Pool) Has(ref declare.Ref) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, s := range p.states {
		if s.host.Kind != store.HostEngine {
			continue
		}
		if e := s.endpoint(now); e.Ready && e.Serves(ref) {
			return true
		}
	}
	return false
}

// viewLocked lists the endpoints of a service, or the engines, in a fixed
// order; the caller holds mu.
func (p *Pool) viewLocked(service string, now time.Time) []place.Endpoint {
	endpoints := make([]place.Endpoint, 0, len(p.states))
	for _, s := range p.states {
		if s.host.Service == service && (service != "" || s.host.Kind == store.HostEngine) {
			endpoints = append(endpoints, s.endpoint(now))
		}
	}
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].ID < endpoints[j].ID })
	return endpoints
}

// View lists all endpoints, for operators.
func (p *Pool) View() []place.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	endpoints := make([]place.Endpoint, 0, len(p.states))
	for _, s := range p.states {
		endpoints = append(endpoints, s.endpoint(now))
	}
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].ID < endpoints[j].ID })
	return endpoints
}

// endpoint is the state as a decision reads it.
func (s *state) endpoint(now time.Time) place.Endpoint {
	e := place.Endpoint{
		ID: s.host.ID, Hash: xxhash.Sum64String(s.host.ID), Address: s.host.Address, Hall: s.host.DataHall,
		Slots: s.report.Slots, InFlight: s.flying, Reported: s.report.Running + s.report.Queued,
		Mine: s.mine, Versions: s.report.refs, Slow: s.health.Slow(now),
		Ready: s.host.State == store.HostLive && !s.report.Draining && s.health.Ready(now),
	}
	if !s.reported.IsZero() {
		e.Age = now.Sub(s.reported)
	}
	return e
}

// Done ends an attempt and tells how it went.
func (r *Reservation) Done(outcome Outcome) {
	r.once.Do(func() { r.pool.done(r.ID, outcome) })
}

func (p *Pool) done(id string, outcome Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[id]
	if !ok {
		return
	}
	s.flying--
	s.health = s.health.WithOutcome(outcome, time.Now())
}
