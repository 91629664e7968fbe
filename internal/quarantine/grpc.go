package quarantine

import (
	"context"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"quaybarrow/internal/quarantine/quarantinepb"
)

// Handler handles an update from another host and returns what that host lacks.
type Handler func(ctx context.Context, u Update) (Update, error)

// Register registers the gRPC service at which a host receives updates from others.
func Register(s grpc.ServiceRegistrar, handle Handler) {
	quarantinepb.RegisterQuarantineServer(s, &server{handle: handle})
}

// server implements the gRPC service.
type server struct {
	quarantinepb.UnimplementedQuarantineServer
	handle Handler
}

// Tell implements quarantinepb.QuarantineServer.
func (s *server) Tell(ctx context.Context, n *quarantinepb.News) (*quarantinepb.News, error) {
	reply, err := s.handle(ctx, updateFromProto(n))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return updateToProto(reply), nil
}

// Connect returns the connection to an address.
type Connect func(address string) (grpc.ClientConnInterface, error)

// grpcClient sends updates over gRPC.
type grpcClient struct{ connect Connect }

// NewPeerClient returns a client that uses connections which other services share.
func NewPeerClient(connect Connect) PeerClient { return grpcClient{connect} }

// Tell implements PeerClient.
func (c grpcClient) Tell(ctx context.Context, address string, u Update) (Update, error) {
	connection, err := c.connect(address)
	if err != nil {
		return Update{}, fmt.Errorf("tell %s: %w", address, err)
	}
	reply, err := quarantinepb.NewQuarantineClient(connection).Tell(ctx, updateToProto(u))
	if err != nil {
		return Update{}, fmt.Errorf("tell %s: %w", address, err)
	}
	return updateFromProto(reply), nil
}

func updateToProto(u Update) *quarantinepb.News {
	w := &quarantinepb.News{Versions: u.Versions, Compare: u.Compare, Loaded: u.Loaded, Scope: int32(u.Scope)} //nolint:gosec // one of three
	for _, r := range u.Rows {
		w.Rows = append(w.Rows, &quarantinepb.Row{Host: r.Host, Version: r.Version, Value: r.Value})
	}
	return w
}

func updateFromProto(w *quarantinepb.News) Update {
	u := Update{Versions: w.GetVersions(), Compare: w.GetCompare(), Loaded: w.GetLoaded(), Scope: Scope(w.GetScope())}
	for _, r := range w.GetRows() {
		u.Rows = append(u.Rows, Row{Host: r.GetHost(), Version: r.GetVersion(), Value: r.GetValue()})
	}
	return u
}
