package ratelimit

import (
	"context"
	"fmt"

	"google.golang.org/grpc"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/ratelimit/ratelimitpb"
)

// Register adds the RateLimit service, which handles calls from other hosts, to a gRPC server.
func Register(s grpc.ServiceRegistrar, l *Limiter) {
	ratelimitpb.RegisterRateLimitServer(s, &server{limiter: l})
}

// server handles calls from other hosts.
type server struct {
	ratelimitpb.UnimplementedRateLimitServer
	limiter *Limiter
}

// Borrow implements ratelimitpb.RateLimitServer.
func (s *server) Borrow(ctx context.Context, w *ratelimitpb.BorrowRequest) (*ratelimitpb.BorrowReply, error) {
	now := clock.Now()
	reply := s.limiter.Borrow(ctx, Request{
		Requests: int(w.GetRequests()), From: w.GetFrom(), Relayed: w.GetRelayed(), Unsaved: w.GetUnsaved(),
		Limit: limitFromWire(w.GetEndpoint(), w.GetLimit(), now),
	})
	return &ratelimitpb.BorrowReply{
		Requests: int32(reply.Requests), //nolint:gosec // no more than was asked for
		Limit:    limitToWire(reply.Limit, clock.Now()), LastsMicros: reply.Validity.Microseconds(), AgainMicros: reply.RetryAfter.Microseconds(),
	}, nil
}

// Tell implements ratelimitpb.RateLimitServer.
func (s *server) Tell(_ context.Context, w *ratelimitpb.TellRequest) (*ratelimitpb.TellReply, error) {
	s.limiter.ApplyNews(News{Limits: limitsFromWire(w.GetNews()), Leaving: w.GetLeaving(), Costly: costlyFromWire(w.GetCostly())})
	if !w.GetAll() {
		return &ratelimitpb.TellReply{}, nil
	}
	known := s.limiter.KnownNews()
	return &ratelimitpb.TellReply{News: limitsToWire(known.Limits), Leaving: known.Leaving, Costly: costlyToWire(known.Costly)}, nil
}

// Connect returns the connection to an address.
type Connect func(address string) (grpc.ClientConnInterface, error)

// grpcClient calls other hosts over gRPC.
type grpcClient struct{ connect Connect }

// NewPeerClient returns a client over connections that it shares with other services.
func NewPeerClient(connect Connect) interface {
	PeerClient
	PlaceClient
} {
	return grpcClient{connect}
}

// Borrow implements PeerClient.
func (c grpcClient) Borrow(ctx context.Context, address string, r Request) (Reply, error) {
	connection, err := c.connect(address)
	if err != nil {
		return Reply{}, fmt.Errorf("borrow from %s: %w", address, err)
	}
	w, err := ratelimitpb.NewRateLimitClient(connection).Borrow(ctx, &ratelimitpb.BorrowRequest{
		Endpoint: r.Limit.Endpoint, Requests: int32(min(r.Requests, maxBorrowRequests)), From: r.From, Relayed: r.Relayed, //nolint:gosec // bounded
		Unsaved: r.Unsaved, Limit: limitToWire(r.Limit, clock.Now()),
	})
	if err != nil {
		return Reply{}, fmt.Errorf("borrow from %s: %w", address, err)
	}
	return Reply{
		Requests: int(w.GetRequests()), Validity: clock.Micros(w.GetLastsMicros()), RetryAfter: clock.Micros(w.GetAgainMicros()),
		Limit: limitFromWire(r.Limit.Endpoint, w.GetLimit(), clock.Now()),
	}, nil
}

// SendNews implements PeerClient.
func (c grpcClient) SendNews(ctx context.Context, address string, n News) error {
	connection, err := c.connect(address)
	if err != nil {
		return fmt.Errorf("tell %s: %w", address, err)
	}
	if _, err := ratelimitpb.NewRateLimitClient(connection).Tell(ctx, &ratelimitpb.TellRequest{News: limitsToWire(n.Limits), Leaving: n.Leaving, Costly: costlyToWire(n.Costly)}); err != nil {
		return fmt.Errorf("tell %s: %w", address, err)
	}
	return nil
}

// FetchNews implements PeerClient.
func (c grpcClient) FetchNews(ctx context.Context, address string) (News, error) {
	connection, err := c.connect(address)
	if err != nil {
		return News{}, fmt.Errorf("fetch news from %s: %w", address, err)
	}
	reply, err := ratelimitpb.NewRateLimitClient(connection).Tell(ctx, &ratelimitpb.TellRequest{All: true})
	if err != nil {
		return News{}, fmt.Errorf("fetch news from %s: %w", address, err)
	}
	return News{Limits: limitsFromWire(reply.GetNews()), Leaving: reply.GetLeaving(), Costly: costlyFromWire(reply.GetCostly())}, nil
}

func limitsToWire(limits []fleet.LimitUpdate) []*ratelimitpb.News {
	now := clock.Now()
	wire := make([]*ratelimitpb.News, len(limits))
	for i, n := range limits {
		wire[i] = &ratelimitpb.News{Endpoint: n.Endpoint, Limit: limitToWire(n, now)}
	}
	return wire
}

func limitsFromWire(wire []*ratelimitpb.News) []fleet.LimitUpdate {
	now := clock.Now()
	limits := make([]fleet.LimitUpdate, len(wire))
	for i, n := range wire {
		limits[i] = limitFromWire(n.GetEndpoint(), n.GetLimit(), now)
	}
	return limits
}

// maxBorrowRequests bounds how many requests one call borrows.
const maxBorrowRequests = 1 << 20

// limitToWire encodes a limit. Times are sent as ages, relative to when the message is sent.
func limitToWire(n fleet.LimitUpdate, now clock.Instant) *ratelimitpb.Limit {
	heard, since := n.Ages(now)
	return &ratelimitpb.Limit{PerSecond: n.Rate, HeardMicros: heard.Microseconds(), SinceMicros: since.Microseconds()}
}

func limitFromWire(endpoint string, w *ratelimitpb.Limit, now clock.Instant) fleet.LimitUpdate {
	return fleet.NewLimitUpdate(endpoint, w.GetPerSecond(), clock.Micros(w.GetHeardMicros()), clock.Micros(w.GetSinceMicros()), now)
}
