package ratelimit

import (
	"context"
	"fmt"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/ratelimit/ratelimitpb"
)

// TakePlace implements ratelimitpb.RateLimitServer.
func (s *server) TakePlace(ctx context.Context, w *ratelimitpb.TakePlaceRequest) (*ratelimitpb.TakePlaceReply, error) {
	reply := s.limiter.HandleTakePlace(ctx, PlaceRequest{
		Endpoint: w.GetEndpoint(), Ticket: w.GetTicket(), Survives: int(w.GetSurvived()), Slots: int(w.GetSlots()),
		Report: reportFromWire(w.GetReport()), From: w.GetFrom(), Relayed: w.GetRelayed(),
	})
	b := reply.Basis
	return &ratelimitpb.TakePlaceReply{
		Granted: reply.Granted, AgainMicros: reply.RetryAfter.Microseconds(), State: string(b.State), Probe: b.Probe, Owner: b.Owner,
		Occupied: int32(b.Occupied), AgeMicros: b.Age.Microseconds(), //nolint:gosec // requests at one endpoint
	}, nil
}

// ReturnPlace implements ratelimitpb.RateLimitServer.
func (s *server) ReturnPlace(_ context.Context, w *ratelimitpb.ReturnPlaceRequest) (*ratelimitpb.ReturnPlaceReply, error) {
	s.limiter.HandleReturnPlace(PlaceReturn{Endpoint: w.GetEndpoint(), Ticket: w.GetTicket(), End: PlaceEnd(w.GetEnd()), Report: reportFromWire(w.GetReport())})
	return &ratelimitpb.ReturnPlaceReply{}, nil
}

// TakePlace implements PlaceClient.
func (c grpcClient) TakePlace(ctx context.Context, address string, r PlaceRequest) (PlaceReply, error) {
	connection, err := c.connect(address)
	if err != nil {
		return PlaceReply{}, fmt.Errorf("take a place of %s: %w", address, err)
	}
	w, err := ratelimitpb.NewRateLimitClient(connection).TakePlace(ctx, &ratelimitpb.TakePlaceRequest{
		Endpoint: r.Endpoint, Ticket: r.Ticket, Survived: int32(r.Survives), Slots: int32(r.Slots), //nolint:gosec // of one endpoint
		Report: reportToWire(r.Report), From: r.From, Relayed: r.Relayed,
	})
	if err != nil {
		return PlaceReply{}, fmt.Errorf("take a place of %s: %w", address, err)
	}
	return PlaceReply{Granted: w.GetGranted(), RetryAfter: clock.Micros(w.GetAgainMicros()), Basis: PlaceBasis{
		State: CountState(w.GetState()), Probe: w.GetProbe(), Owner: w.GetOwner(), Occupied: int(w.GetOccupied()), Age: clock.Micros(w.GetAgeMicros()),
	}}, nil
}

// ReturnPlace implements PlaceClient.
func (c grpcClient) ReturnPlace(ctx context.Context, address string, r PlaceReturn) error {
	connection, err := c.connect(address)
	if err != nil {
		return fmt.Errorf("return a place to %s: %w", address, err)
	}
	_, err = ratelimitpb.NewRateLimitClient(connection).ReturnPlace(ctx, &ratelimitpb.ReturnPlaceRequest{
		Endpoint: r.Endpoint, Ticket: r.Ticket, End: ratelimitpb.ReturnPlaceRequest_End(r.End), Report: reportToWire(r.Report), //nolint:gosec // one of four
	})
	if err != nil {
		return fmt.Errorf("return a place to %s: %w", address, err)
	}
	return nil
}

func reportToWire(r PlaceReport) *ratelimitpb.Report {
	return &ratelimitpb.Report{Occupied: int32(r.Occupied), Slots: int32(r.Slots), AgeMicros: r.Age.Microseconds()} //nolint:gosec // of one endpoint
}

func reportFromWire(w *ratelimitpb.Report) PlaceReport {
	return PlaceReport{Occupied: int(w.GetOccupied()), Slots: int(w.GetSlots()), Age: max(0, clock.Micros(w.GetAgeMicros()))}
}

func costlyToWire(services []fleet.CostlyService) []*ratelimitpb.Costly {
	var wire []*ratelimitpb.Costly
	for _, s := range services {
		wire = append(wire, &ratelimitpb.Costly{Service: s.Service, Survived: int32(s.Survives), HeardMicros: s.ConfirmedAgo.Microseconds()}) //nolint:gosec // rejections a second
	}
	return wire
}

func costlyFromWire(wire []*ratelimitpb.Costly) []fleet.CostlyService {
	var services []fleet.CostlyService
	for _, w := range wire {
		services = append(services, fleet.CostlyService{Service: w.GetService(), Survives: int(w.GetSurvived()), ConfirmedAgo: max(0, time.Duration(w.GetHeardMicros())*time.Microsecond)})
	}
	return services
}
