package share

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/share/sharepb"
)

// Register adds the Share service, which handles reports from other hosts, to a gRPC server.
func Register(r grpc.ServiceRegistrar, s *Shares) {
	sharepb.RegisterShareServer(r, &server{shares: s})
}

// server handles reports from other hosts.
type server struct {
	sharepb.UnimplementedShareServer
	shares *Shares
}

// Report implements sharepb.ShareServer.
func (s *server) Report(_ context.Context, w *sharepb.ReportRequest) (*sharepb.ReportReply, error) {
	r, err := reportFromWire(w)
	if err != nil {
		err = fmt.Errorf("decode report: %w", err)
		s.shares.logBad("bad report on demand; it is ignored", w.GetHost(), w.GetService(), err)
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply, err := s.shares.Handle(r)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return replyToWire(reply), nil
}

// Connect returns the connection to an address.
type Connect func(address string) (grpc.ClientConnInterface, error)

// grpcClient calls other hosts over gRPC.
type grpcClient struct{ connect Connect }

// NewPeerClient returns a client over connections that it shares with other services.
func NewPeerClient(connect Connect) PeerClient { return grpcClient{connect} }

// Report implements PeerClient.
func (c grpcClient) Report(ctx context.Context, address string, r Report) (Reply, error) {
	connection, err := c.connect(address)
	if err != nil {
		return Reply{}, fmt.Errorf("report to %s: %w", address, err)
	}
	w, err := sharepb.NewShareClient(connection).Report(ctx, reportToWire(r))
	if err != nil {
		return Reply{}, fmt.Errorf("report to %s: %w", address, err)
	}
	reply, err := replyFromWire(w)
	if err != nil {
		return Reply{}, fmt.Errorf("reply from %s: %w", address, err)
	}
	return reply, nil
}

// errRepeatedClass means that a message has two values for a class.
var errRepeatedClass = errors.New("class is repeated")

func reportToWire(r Report) *sharepb.ReportRequest {
	w := &sharepb.ReportRequest{
		Host: r.Host, Service: r.Service, Admitted: r.Admitted, Occupancy: r.Occupancy, PressedForMicros: r.PressedFor.Microseconds(), Factor: r.Factor,
		Arrivals: int32(r.Arrivals), Rejections: int32(r.Rejections), Responses: int32(r.Responses), //nolint:gosec // bounded
	}
	for c, d := range r.Demand {
		w.Demand = append(w.Demand, &sharepb.Demand{Workspace: c.Workspace, Urgency: int32(c.Urgency), Work: d}) //nolint:gosec // 0 to 9
	}
	return w
}

// reportFromWire decodes a report. The caller checks its values.
func reportFromWire(w *sharepb.ReportRequest) (Report, error) {
	r := Report{
		Host: w.GetHost(), Service: w.GetService(), Demand: make(map[Class]float64, min(len(w.GetDemand()), maxClasses)), Admitted: w.GetAdmitted(),
		Arrivals: int(w.GetArrivals()), Rejections: int(w.GetRejections()),
		Occupancy: w.GetOccupancy(), Responses: int(w.GetResponses()), PressedFor: clock.Micros(w.GetPressedForMicros()), Factor: w.GetFactor(),
	}
	if n := len(w.GetDemand()); n > maxClasses {
		return r, tooManyClasses(n)
	}
	for _, d := range w.GetDemand() {
		c := Class{Workspace: d.GetWorkspace(), Urgency: int(d.GetUrgency())}
		if _, ok := r.Demand[c]; ok {
			return r, errRepeatedClass
		}
		r.Demand[c] = d.GetWork()
	}
	return r, nil
}

func replyToWire(r Reply) *sharepb.ReportReply {
	w := &sharepb.ReportReply{Undecided: r.Undecided, Factor: r.Factor}
	for c, f := range r.Fractions {
		w.Fractions = append(w.Fractions, &sharepb.Fraction{Workspace: c.Workspace, Urgency: int32(c.Urgency), Fraction: f}) //nolint:gosec // 0 to 9
	}
	return w
}

// replyFromWire decodes a reply. The caller checks its values.
func replyFromWire(w *sharepb.ReportReply) (Reply, error) {
	if n := len(w.GetFractions()); n > maxClasses {
		return Reply{}, tooManyClasses(n)
	}
	r := Reply{Fractions: make(map[Class]float64, len(w.GetFractions())), Undecided: w.GetUndecided(), Factor: w.GetFactor()}
	for _, f := range w.GetFractions() {
		c := Class{Workspace: f.GetWorkspace(), Urgency: int(f.GetUrgency())}
		if _, ok := r.Fractions[c]; ok {
			return Reply{}, errRepeatedClass
		}
		r.Fractions[c] = f.GetFraction()
	}
	return r, nil
}
