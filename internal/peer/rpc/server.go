// Package rpc implements the messages between hosts over gRPC.
//
// # Usage
//
//	server := rpc.NewServer(handler, credentials)
//	go server.Serve(listener)
//	link := rpc.NewLink(credentials)
//	defer link.Close()
package rpc

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	_ "google.golang.org/grpc/encoding/gzip" // registers the compressor used for large revisions
	"google.golang.org/grpc/status"

	"quaybarrow/internal/peer"
	"quaybarrow/internal/peer/peerpb"
	"quaybarrow/internal/quarantine"
)

// maxMessageBytes is the maximum size of a message.
const maxMessageBytes = 16 << 20

// NewServer returns a gRPC server that passes messages to a handler.
func NewServer(h peer.Handler, c credentials.TransportCredentials) *grpc.Server {
	server := grpc.NewServer(grpc.Creds(c), grpc.MaxRecvMsgSize(maxMessageBytes))
	peerpb.RegisterPeerServer(server, &peerService{handler: h})
	quarantine.Register(server, h.Tell)
	return server
}

// peerService implements peerpb.PeerServer.
type peerService struct {
	peerpb.UnimplementedPeerServer
	handler peer.Handler
}

// convertResult converts the value and error that a handler returned to their gRPC forms.
func convertResult[T, Wire any](value T, err error, convert func(T) Wire) (Wire, error) {
	if err != nil {
		var zero Wire
		return zero, statusError(err)
	}
	return convert(value), nil
}

// statusError converts an error to a gRPC status error.
func statusError(err error) error {
	if errors.Is(err, peer.ErrRefused) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}

// Ping implements peerpb.PeerServer.
func (h *peerService) Ping(ctx context.Context, r *peerpb.Status) (*peerpb.Status, error) {
	s, err := h.handler.Ping(ctx, statusFromWire(r))
	return convertResult(s, err, statusToWire)
}

// Fetch implements peerpb.PeerServer.
func (h *peerService) Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.RevisionMessage, error) {
	m, err := h.handler.Fetch(ctx, r.GetAbove())
	return convertResult(m, err, revisionToWire)
}

// Push implements peerpb.PeerServer.
func (h *peerService) Push(ctx context.Context, r *peerpb.PushRequest) (*peerpb.PushReply, error) {
	c, err := h.handler.Push(ctx, pushFromWire(r))
	return convertResult(c, err, confirmationsToWire)
}

// Hold implements peerpb.PeerServer.
func (h *peerService) Hold(ctx context.Context, r *peerpb.HoldRequest) (*peerpb.Empty, error) {
	return emptyReply(h.handler.Hold(ctx, holdFromWire(r)))
}

// Grant implements peerpb.PeerServer.
func (h *peerService) Grant(ctx context.Context, r *peerpb.GrantRequest) (*peerpb.Empty, error) {
	return emptyReply(h.handler.Grant(ctx, grantFromWire(r)))
}

// Show implements peerpb.PeerServer.
func (h *peerService) Show(ctx context.Context, r *peerpb.ShowRequest) (*peerpb.ShowReply, error) {
	reply, err := h.handler.Show(ctx, queryFromWire(r))
	return convertResult(reply, err, func(r peer.Reply) *peerpb.ShowReply { return &peerpb.ShowReply{Data: r.Data} })
}

func emptyReply(err error) (*peerpb.Empty, error) {
	if err != nil {
		return nil, statusError(err)
	}
	return &peerpb.Empty{}, nil
}
