// Package advice has the hosts of a data hall choose endpoints together: the first
// of them is asked, so one host sees all requests that run at an endpoint.
//
// # Usage
//
//	a := advice.New(advice.Options{Fleet: f, First: watcher.FirstOfHall, ...})
//	a.Register(server)
//	id, ok := a.Choose(ctx, ask, versionKey)
//	...
//	a.Ended(id)
//
// Many hosts that each know only their own requests fill an endpoint's slots by
// chance while others have room. Advice is soft state: nothing is agreed or kept,
// it comes within milliseconds or not at all, and a host without it chooses by
// itself.
package advice

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"quaybarrow/internal/advice/advicepb"
	"quaybarrow/internal/fleet"
)

// Times of advice.
const (
	// patience is how long advice is waited for: a few times what it takes within
	// a data hall, and little beside the reading of a long prompt.
	patience = 25 * time.Millisecond
	// pause is how long nobody is asked after advice did not come.
	pause = 500 * time.Millisecond
	// endedMost bounds what is kept to be told; who was advised forgets requests by
	// itself after a while.
	endedMost = 256
)

// Options set up an Advisor.
type Options struct {
	Fleet *fleet.Fleet
	// Allowed returns which versions of a service a request with a key may run on.
	Allowed func(service string, versionKey uint64) func(version string) bool
	// First returns the address of the host that is asked; false if there is none
	// but this one.
	First func() (string, bool)
	// Conn returns the connection to an address.
	Conn   func(address string) (grpc.ClientConnInterface, error)
	Logger *log.Logger
}

// Advisor asks for advice and gives it; safe for use at once.
type Advisor struct {
	options Options

	mu     sync.Mutex // guards all below
	silent time.Time  // nobody is asked until then
	ended  []string   // endpoints of advised requests that have ended, not told yet
}

// New returns an advisor.
func New(options Options) *Advisor { return &Advisor{options: options} }

// Register serves advice to other hosts.
func (a *Advisor) Register(s grpc.ServiceRegistrar) {
	advicepb.RegisterAdviceServer(s, &server{options: a.options})
}

// Choose returns the endpoint that the first host of the data hall advises; false
// if none was advised in time, or this host is the first.
func (a *Advisor) Choose(ctx context.Context, ask fleet.Ask, versionKey uint64) (string, bool) {
	address, ok := a.options.First()
	if !ok || a.isSilent() {
		return "", false
	}
	connection, err := a.options.Conn(address)
	if err != nil {
		a.failed(address, err)
		return "", false
	}
	limited, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	reply, err := advicepb.NewAdviceClient(connection).Choose(limited, &advicepb.ChooseRequest{
		Service: ask.Service, Model: ask.Model, Key: ask.Key, VersionKey: versionKey, Tokens: int32(ask.Tokens), //nolint:gosec // prompts are far shorter
		Shared: int32(ask.Shared), ObjectiveMicros: ask.Objective.Microseconds(), Avoid: ask.Avoid, //nolint:gosec // as above
		Ended: a.takeEnded(),
	})
	if err != nil {
		if ctx.Err() == nil {
			a.failed(address, err)
		}
		return "", false
	}
	return reply.GetEndpoint(), reply.GetEndpoint() != ""
}

// Ended notes that a request at an advised endpoint has ended.
func (a *Advisor) Ended(endpoint string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.ended) < endedMost {
		a.ended = append(a.ended, endpoint)
	}
}

func (a *Advisor) takeEnded() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	ended := a.ended
	a.ended = nil
	return ended
}

func (a *Advisor) isSilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.silent)
}

func (a *Advisor) failed(address string, err error) {
	a.mu.Lock()
	a.silent = time.Now().Add(pause)
	a.mu.Unlock()
	a.options.Logger.Info("no advice on endpoints; choosing alone for a while", "address", address, "error", err)
}

// server gives advice to other hosts.
type server struct {
	advicepb.UnimplementedAdviceServer
	options Options
}

// Choose implements advicepb.AdviceServer.
func (s *server) Choose(_ context.Context, r *advicepb.ChooseRequest) (*advicepb.ChooseReply, error) {
	s.options.Fleet.Ended(r.GetEnded())
	id, ok := s.options.Fleet.Advise(fleet.Ask{
		Service: r.GetService(), Model: r.GetModel(), Key: r.GetKey(), Tokens: int(r.GetTokens()), Shared: int(r.GetShared()),
		Objective: time.Duration(r.GetObjectiveMicros()) * time.Microsecond, Avoid: r.GetAvoid(),
		Allowed: s.options.Allowed(r.GetService(), r.GetVersionKey()),
	})
	if !ok {
		return nil, status.Error(codes.NotFound, "no endpoint takes the request")
	}
	return &advicepb.ChooseReply{Endpoint: id}, nil
}
