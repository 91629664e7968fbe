package reach

import (
	"context"
	"fmt"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/reach/reachpb"
)

// Notice is what an endpoint has asked of hosts in a response over a relayed connection.
type Notice struct {
	Endpoint string        // its ID
	Request  string        // ID of the request whose response said so
	Leaving  bool          // it has said that it leaves
	Pause    time.Duration // for how long it wants nothing; 0 if it does not say
}

// Bounds of telling a host that relayed a response.
const (
	tellTimeout = 200 * time.Millisecond
	maxTells    = 2
)

// Tell passes on what an endpoint has asked of hosts to the host that relayed the response: the endpoint
// takes that host for the one that sent the request. It returns at once.
func (t *Tracker) Tell(host string, n Notice) {
	go func() {
		var err error
		for range maxTells {
			if err = t.tellOnce(host, n); err == nil {
				return
			}
		}
		t.options.Logger.Warn("host that relayed a response can't be told what the endpoint asks", "address", host, "endpoint", n.Endpoint, "leaving", n.Leaving, "pause_ms", n.Pause.Milliseconds(), "error", err)
	}()
}

func (t *Tracker) tellOnce(host string, n Notice) error {
	connection, err := t.options.Connect(host)
	if err != nil {
		return fmt.Errorf("connect to host %s: %w", host, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	request := &reachpb.TellRequest{Endpoint: n.Endpoint, Leaving: n.Leaving, PauseMicros: n.Pause.Microseconds(), Request: n.Request}
	if _, err := reachpb.NewReachClient(connection).Tell(ctx, request); err != nil {
		return fmt.Errorf("tell host %s: %w", host, err)
	}
	return nil
}

// Tell implements reachpb.ReachServer.
func (s *server) Tell(_ context.Context, r *reachpb.TellRequest) (*reachpb.TellReply, error) {
	if observe := s.tracker.options.OnNotice; observe != nil {
		observe(Notice{Endpoint: r.GetEndpoint(), Request: r.GetRequest(), Leaving: r.GetLeaving(), Pause: clock.Micros(r.GetPauseMicros())})
	}
	return &reachpb.TellReply{}, nil
}

// StopReuse tells the hosts whose connections to an endpoint this host relays not to send another request
// on them. Requests that run there go on.
func (t *Tracker) StopReuse(address string) {
	t.server.stopReuse(func(r *relayed) bool { return r.conn.link.address == address })
}
