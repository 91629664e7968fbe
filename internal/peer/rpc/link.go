package rpc

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"quaybarrow/internal/peer"
	"quaybarrow/internal/peer/peerpb"
	"quaybarrow/internal/quarantine"
)

// Connection parameters of a link.
const (
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 3 * time.Second
	connectTimeout = 2 * time.Second
)

// Link sends messages to other hosts over gRPC; it implements peer.Link.
type Link struct {
	credentials credentials.TransportCredentials

	mu    sync.Mutex // guards conns
	conns map[string]*grpc.ClientConn
}

// NewLink returns a link that connects to a host when it first sends to it.
func NewLink(c credentials.TransportCredentials) *Link {
	return &Link{credentials: c, conns: map[string]*grpc.ClientConn{}}
}

// Close closes all connections.
func (l *Link) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, c := range l.conns {
		_ = c.Close()
		delete(l.conns, address)
	}
	return nil
}

// client returns a client for an address.
func (l *Link) client(address string) (peerpb.PeerClient, error) {
	c, err := l.conn(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(c), nil
}

// conn returns the connection to an address, and creates it if there is none.
func (l *Link) conn(address string) (grpc.ClientConnInterface, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.conns[address]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(l.credentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: initialBackoff, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	l.conns[address] = c
	return c, nil
}

// Prune closes the connections to addresses for which keep returns false, such as those of hosts that
// have left.
func (l *Link) Prune(keep func(address string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, c := range l.conns {
		if !keep(address) {
			_ = c.Close()
			delete(l.conns, address)
		}
	}
}

// peerError converts a gRPC error to peer.ErrRefused or peer.ErrUnreachable.
func peerError(address string, err error) error {
	if status.Code(err) == codes.FailedPrecondition {
		return fmt.Errorf("ask %s: %w", address, peer.ErrRefused)
	}
	return fmt.Errorf("ask %s: %w: %w", address, peer.ErrUnreachable, err)
}

// invoke makes one RPC and converts its reply.
func invoke[Request, WireReply, Reply any](
	ctx context.Context, l *Link, address string, request Request,
	call func(peerpb.PeerClient, context.Context, Request, ...grpc.CallOption) (WireReply, error),
	convert func(WireReply) Reply, options ...grpc.CallOption,
) (Reply, error) {
	var zero Reply
	client, err := l.client(address)
	if err != nil {
		return zero, err
	}
	reply, err := call(client, ctx, request, options...)
	if err != nil {
		return zero, peerError(address, err)
	}
	return convert(reply), nil
}

// Ping implements peer.Link.
func (l *Link) Ping(ctx context.Context, address string, s peer.Status) (peer.Status, error) {
	return invoke(ctx, l, address, statusToWire(s), peerpb.PeerClient.Ping, statusFromWire)
}

// Fetch implements peer.Link.
func (l *Link) Fetch(ctx context.Context, address string, above int64) (peer.RevisionMessage, error) {
	request := &peerpb.FetchRequest{Above: above}
	return invoke(ctx, l, address, request, peerpb.PeerClient.Fetch, revisionFromWire, grpc.UseCompressor(gzip.Name))
}

// Push implements peer.Link.
func (l *Link) Push(ctx context.Context, address string, push peer.Push) ([]peer.Confirmation, error) {
	return invoke(ctx, l, address, pushToWire(push), peerpb.PeerClient.Push, confirmationsFromWire, grpc.UseCompressor(gzip.Name))
}

// discardEmpty converts the reply of an RPC that returns no data.
func discardEmpty(*peerpb.Empty) struct{} { return struct{}{} }

// Hold implements peer.Link.
func (l *Link) Hold(ctx context.Context, address string, hold peer.Hold) error {
	_, err := invoke(ctx, l, address, holdToWire(hold), peerpb.PeerClient.Hold, discardEmpty)
	return err
}

// Grant implements peer.Link.
func (l *Link) Grant(ctx context.Context, address string, grant peer.Grant) error {
	_, err := invoke(ctx, l, address, grantToWire(grant), peerpb.PeerClient.Grant, discardEmpty)
	return err
}

// Show implements peer.Link.
func (l *Link) Show(ctx context.Context, address string, query peer.Query) (peer.Reply, error) {
	convert := func(r *peerpb.ShowReply) peer.Reply { return peer.Reply{Data: r.GetData()} }
	return invoke(ctx, l, address, queryToWire(query), peerpb.PeerClient.Show, convert, grpc.UseCompressor(gzip.Name))
}

// Tell implements peer.Link.
func (l *Link) Tell(ctx context.Context, address string, n quarantine.Update) (quarantine.Update, error) {
	return quarantine.NewPeerClient(l.conn).Tell(ctx, address, n)
}
