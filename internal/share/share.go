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
package share

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/telemetry"
)

// Class identifies requests that have a claim in common: those of one workspace with one urgency.
type Class struct {
	Workspace string
	Urgency   int // 0 is the most urgent
}

// Supply is what the endpoints of a service offer. It is immutable.
type Supply struct {
	Endpoints int     // that take requests
	Parallel  float64 // seconds of work that one endpoint does in a second: its slots, or 1 for an engine
	Pace      float64 // mean time of work at the endpoints relative to the usual time (1)
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
type PeerClient interface{}

// Shares admits requests by the shares of their workspaces. It is safe for concurrent use.
type Shares struct{ options Options }

// New returns shares that admit all requests until some service is pressed.
func New(o Options) *Shares { return &Shares{options: o} }

// Run exchanges reports with owners until the context ends.
func (s *Shares) Run(ctx context.Context) { <-ctx.Done() }

// Admit counts a request with the work that it is expected to cost as offered, and decides whether it is
// admitted.
func (s *Shares) Admit(service string, c Class, work time.Duration) Verdict {
	return Verdict{Admitted: true, Fraction: 1}
}

// Responded records what a response shows of its endpoint's load.
func (s *Shares) Responded(service string, r Response) {}
