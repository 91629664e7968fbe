package ratelimit

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/ratelimit/ratelimitpb"
)

// Register has a gRPC server answer other hosts.
func Register(s grpc.ServiceRegistrar, borrow func(context.Context, Request) Reply) {
	ratelimitpb.RegisterRateLimitServer(s, &server{borrow: borrow})
}

// server answers other hosts.
type server struct {
	ratelimitpb.UnimplementedRateLimitServer
	borrow func(context.Context, Request) Reply
}

// Borrow implements ratelimitpb.RateLimitServer.
func (s *server) Borrow(ctx context.Context, w *ratelimitpb.BorrowRequest) (*ratelimitpb.BorrowReply, error) {
	now := clock.Now()
	reply := s.borrow(ctx, Request{
		Requests: int(w.GetRequests()), From: w.GetFrom(), Relayed: w.GetRelayed(), Limit: limitFromWire(w.GetEndpoint(), w.GetLimit(), now),
	})
	return &ratelimitpb.BorrowReply{
		Requests: int32(reply.Requests), //nolint:gosec // no more than was asked for
		Limit:    limitToWire(reply.Limit, clock.Now()), LastsMicros: reply.Lasts.Microseconds(), AgainMicros: reply.Again.Microseconds(),
	}, nil
}

// Connect returns the connection to an address.
type Connect func(address string) (grpc.ClientConnInterface, error)

// grpcCaller sends over gRPC.
type grpcCaller struct{ connect Connect }

// NewCaller returns a caller over connections that other services share.
func NewCaller(connect Connect) Caller { return grpcCaller{connect} }

// Borrow implements Caller.
func (c grpcCaller) Borrow(ctx context.Context, address string, r Request) (Reply, error) {
	connection, err := c.connect(address)
	if err != nil {
		return Reply{}, fmt.Errorf("borrow from %s: %w", address, err)
	}
	w, err := ratelimitpb.NewRateLimitClient(connection).Borrow(ctx, &ratelimitpb.BorrowRequest{
		Endpoint: r.Limit.Endpoint, Requests: int32(min(r.Requests, requestsMost)), From: r.From, Relayed: r.Relayed, //nolint:gosec // bounded
		Limit: limitToWire(r.Limit, clock.Now()),
	})
	if err != nil {
		return Reply{}, fmt.Errorf("borrow from %s: %w", address, err)
	}
	return Reply{
		Requests: int(w.GetRequests()), Lasts: micros(w.GetLastsMicros()), Again: micros(w.GetAgainMicros()),
		Limit: limitFromWire(r.Limit.Endpoint, w.GetLimit(), clock.Now()),
	}, nil
}

// requestsMost bounds what is asked for at a time.
const requestsMost = 1 << 20

// limitToWire encodes what is known of a limit; times are relative to the sending.
func limitToWire(n fleet.LimitNews, now clock.Instant) *ratelimitpb.Limit {
	return &ratelimitpb.Limit{PerSecond: n.Rate, HeardMicros: now.Sub(n.Heard).Microseconds(), SinceMicros: now.Sub(n.Since).Microseconds()}
}

func limitFromWire(endpoint string, w *ratelimitpb.Limit, now clock.Instant) fleet.LimitNews {
	return fleet.LimitNews{
		Endpoint: endpoint, Rate: w.GetPerSecond(), Heard: now.Add(-micros(w.GetHeardMicros())), Since: now.Add(-micros(w.GetSinceMicros())),
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
