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
type Handler func(ctx context.Context, n Update) (Update, error)

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
	reply, err := s.handle(ctx, newsFromWire(n))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return newsToWire(reply), nil
}

// Connect returns the connection to an address.
type Connect func(address string) (grpc.ClientConnInterface, error)

// grpcClient sends updates over gRPC.
type grpcClient struct{ connect Connect }

// NewPeerClient returns a client that uses connections which other services share.
func NewPeerClient(connect Connect) PeerClient { return grpcClient{connect} }

// Tell implements Caller.
func (c grpcClient) Tell(ctx context.Context, address string, n Update) (Update, error) {
	connection, err := c.connect(address)
	if err != nil {
		return Update{}, fmt.Errorf("send update to %s: %w", address, err)
	}
	reply, err := quarantinepb.NewQuarantineClient(connection).Tell(ctx, newsToWire(n))
	if err != nil {
		return Update{}, fmt.Errorf("send update to %s: %w", address, err)
	}
	return newsFromWire(reply), nil
}

func newsToWire(n Update) *quarantinepb.News {
	w := &quarantinepb.News{Versions: n.Versions, Compare: n.Compare, Loaded: n.Loaded, Scope: int32(n.Scope)} //nolint:gosec // one of three values
	for _, r := range n.Rows {
		w.Rows = append(w.Rows, &quarantinepb.Row{Host: r.Host, Version: r.Version, Value: r.Value})
	}
	return w
}

func newsFromWire(w *quarantinepb.News) Update {
	n := Update{Versions: w.GetVersions(), Compare: w.GetCompare(), Loaded: w.GetLoaded(), Scope: Scope(w.GetScope())}
	for _, r := range w.GetRows() {
		n.Rows = append(n.Rows, Row{Host: r.GetHost(), Version: r.GetVersion(), Value: r.GetValue()})
	}
	return n
}
