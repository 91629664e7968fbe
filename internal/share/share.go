// Package share divides the capacity of a service's endpoints among workspaces while the endpoints can't
// serve all requests.
//
// # Usage
//
//	s := share.New(share.Options{Host: name, Members: members, Peers: peers, Supply: supply, ...})
//	share.Register(server, s)
//	go s.Run(ctx)
//	...
//	if v := s.Admit("tagger", share.Class{Workspace: "clerks", Urgency: 1}, work); !v.Admitted { ...refuse... }
//	...
//	s.Responded("tagger", share.Response{Occupancy: 0.8})
//
// For each service one host, the owner, divides the capacity by what all hosts report that is asked of
// them; every host applies the result to its own callers' requests. All state is soft: it is lost with
// its host and rebuilt from the next reports.
//
// A host reports only while a service is pressed for it, that is, while its endpoints are nearly full or
// reject requests. While the owner does not answer, the next host in the service's rendezvous order
// divides; while nobody answers, each host divides its own part of the capacity among its own requests.
package share

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/wake"
)

// Class identifies requests that have a claim in common: those of one workspace with one urgency.
type Class struct {
	Workspace string
	Urgency   int // its order among the workspace's classes, the lowest first
}

// Supply is what the endpoints of a service offer. It is immutable.
type Supply struct {
	Endpoints int     // that take requests
	Parallel  float64 // seconds of work that one endpoint does in a second: its slots, or 1 for an engine
	Pace      float64 // mean time of work at the endpoints relative to the usual time (1)
}

// work returns the seconds of work per second that the endpoints do if the estimates of work are right.
func (s Supply) work() float64 {
	w := float64(s.Endpoints) * s.Parallel
	if s.Pace > 0 {
		w /= s.Pace
	}
	if !finite(w) {
		return 0
	}
	return w
}

// Response is what the response of an endpoint shows of its load.
type Response struct {
	Rejected  bool    // the endpoint did not run the request
	Occupancy float64 // running and waiting requests by slots; negative if not reported
}

// Verdict is the decision on a request.
type Verdict struct {
	Admitted bool
	Fraction float64 // of the requests of its class that are admitted, from 0 to 1
}

// Member is another host.
type Member struct{ Name, Address string }

// Options configure Shares.
type Options struct {
	Host         string // this host's name
	Members      func() []Member
	MembersKnown func() bool // whether the list of members has been read
	Peers        PeerClient
	Enabled      func() bool // whether capacity is shared at all
	Weight       func(workspace string) float64
	Supply       func(service string) Supply
	Random       func() float64 // from 0 to 1; nil selects the runtime's
	Telemetry    *telemetry.Telemetry
	Logger       *log.Logger
}

// PeerClient calls other hosts.
type PeerClient interface {
	// Report sends a report to the owner of its service.
	Report(ctx context.Context, address string, r Report) (Reply, error)
}

// Shares admits requests by the shares of their workspaces. It is safe for concurrent use.
type Shares struct {
	options Options
	wake    wake.Signal // some service has become pressed

	mu           sync.Mutex // guards all below
	services     map[string]*service
	hosts        []host // includes this host; replaced when it changes
	hostsReadAt  clock.Instant
	skippedUntil map[string]clock.Instant // by name: hosts that did not answer, and until when they are skipped
	logged       map[string]bool          // hosts whose failure to answer has been logged
	badLoggedAt  clock.Instant            // when a bad message was last logged
}

// service is the state of one service.
type service struct {
	name         string
	demand       *demand
	exchanging   bool              // whether a goroutine exchanges reports
	fractions    map[Class]float64 // below 1
	receivedAt   clock.Instant     // of fractions
	factor       float64           // of the last reply; 0 if there was none
	owner        *owner            // divides for all hosts that report to this one; nil if none did
	alone        *owner            // divides for this host while nobody answers; nil if somebody does
	appliedAlone bool              // whether fractions are those of alone
}

// New returns shares that admit all requests until some service is pressed.
func New(o Options) *Shares {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Shares{
		options: o, wake: wake.NewSignal(), services: map[string]*service{},
		skippedUntil: map[string]clock.Instant{}, logged: map[string]bool{},
	}
}

// Admit counts a request with the work that it is expected to cost as offered, and decides whether it is
// admitted.
func (s *Shares) Admit(service string, c Class, work time.Duration) Verdict {
	if !s.options.Enabled() {
		return Verdict{Admitted: true, Fraction: 1}
	}
	return s.admit(service, c, max(work, 0).Seconds())
}

func (s *Shares) admit(name string, c Class, work float64) Verdict {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.service(name)
	state.demand.offer(c, work, now)
	f := state.fraction(c, now)
	v := Verdict{Admitted: f >= 1 || s.options.Random() < f, Fraction: f}
	if v.Admitted {
		state.demand.admitted += work
	}
	return v
}

// Responded records what a response shows of its endpoint's load.
func (s *Shares) Responded(service string, r Response) {
	if !s.options.Enabled() {
		return
	}
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.service(service)
	if state.demand.respond(r, now) && !state.exchanging {
		s.wake.Notify()
	}
}

// service returns the state of a service; the caller holds mu.
func (s *Shares) service(name string) *service {
	state := s.services[name]
	if state == nil {
		state = &service{name: name, demand: newDemand()}
		s.services[name] = state
	}
	return state
}

// inForce reports whether the latest fractions are valid.
func (s *service) inForce(now clock.Instant) bool {
	return !s.receivedAt.IsZero() && now.Sub(s.receivedAt) <= replyValidity
}

// fraction returns the fraction of a class that is admitted.
func (s *service) fraction(c Class, now clock.Instant) float64 {
	if f, ok := s.fractions[c]; ok && s.inForce(now) {
		return f
	}
	return 1
}

// apply puts fractions into force. While something is cut, this host goes on reporting, also if it sees
// no response of an endpoint, since its requests would be admitted whole without a reply.
func (s *service) apply(r Reply, now clock.Instant) {
	if r.Undecided {
		return
	}
	s.fractions = r.Fractions
	s.factor = r.Factor
	s.receivedAt = now
	if len(r.Fractions) > 0 {
		s.demand.pressUntil(now.Add(replyValidity))
	}
}
