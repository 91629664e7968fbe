package spread

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/pkg/errors"

	"quaybarrow/internal/spread/spreadpb"
	"quaybarrow/internal/store"
)

// Parameters of connections between hosts.
const (
	connectTimeout = time.Second
	backoffFirst   = 100 * time.Millisecond
	backoffMost    = time.Second
	messageBytes   = 16 << 20 // a table of thousands of endpoints
	writeBuffer    = 4 << 10  // hosts have little memory and many connections
	readBuffer     = 4 << 10
)

// Dialer opens connections.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// staleAfter is the age from which what a host passes on is not taken: a wait at
// the store and half of the time in which a lost answer is given up. With a wait at
// a host that falls silent then, a change is seen in two and a half seconds.
const staleAfter = 1350 * time.Millisecond

// staleError means that a host was told too long ago.
func staleError(p peer, age time.Duration) error {
	return fmt.Errorf("ask %s: told %s ago: %w: %w", p.name, age, errStoreLost, store.ErrUnavailable)
}

// errStoreLost means that the host that was asked does not reach the store.
var errStoreLost = errors.New("the host does not reach the store")

// errClosed means that this host has stopped.
var errClosed = errors.New("the host has stopped")

func storeLost(err error) bool { return errors.Is(err, errStoreLost) }

// link holds the connections to other hosts; safe for use at once.
type link struct {
	credentials credentials.TransportCredentials
	dial        Dialer

	mu     sync.Mutex // guards all below
	conns  map[string]*grpc.ClientConn
	closed bool
}

func newLink(c credentials.TransportCredentials, dial Dialer) *link {
	return &link{credentials: c, dial: dial, conns: map[string]*grpc.ClientConn{}}
}

// close ends all connections.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for address, c := range l.conns {
		_ = c.Close()
		delete(l.conns, address)
	}
}

// client returns the client of an address.
func (l *link) client(address string) (spreadpb.SpreadClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	if c, ok := l.conns[address]; ok {
		return spreadpb.NewSpreadClient(c), nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(l.credentials),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(messageBytes)),
		grpc.WithWriteBufferSize(writeBuffer), grpc.WithReadBufferSize(readBuffer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: backoffFirst, Multiplier: 2, Jitter: 0.2, MaxDelay: backoffMost},
			MinConnectTimeout: connectTimeout,
		}),
	}
	if l.dial != nil {
		options = append(options, grpc.WithContextDialer(l.dial))
	}
	c, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	l.conns[address] = c
	return spreadpb.NewSpreadClient(c), nil
}

// state asks a host for a table.
func (l *link) state(ctx context.Context, p peer, request *spreadpb.StateRequest, hear func(time.Duration)) (aged, error) {
	client, err := l.client(p.address)
	if err != nil {
		return aged{}, err
	}
	reply, err := client.State(ctx, request)
	if err != nil {
		return aged{}, errorOf(p, err)
	}
	hear(time.Duration(reply.GetNowMicros()) * time.Microsecond)
	a := aged{age: time.Duration(reply.GetAgeMicros()) * time.Microsecond}
	a.state.Version = reply.GetVersion()
	for _, row := range reply.GetRows() {
		a.state.Rows = append(a.state.Rows, rowFromWire(row))
	}
	return a, nil
}

// changes asks a host for changes of a table.
func (l *link) changes(ctx context.Context, p peer, table string, after int64, wait time.Duration, hear func(time.Duration)) (result, error) {
	client, err := l.client(p.address)
	if err != nil {
		return result{}, err
	}
	reply, err := client.Changes(ctx, &spreadpb.ChangesRequest{Table: table, After: after, WaitMicros: wait.Microseconds()})
	if err != nil {
		return result{}, errorOf(p, err)
	}
	hear(time.Duration(reply.GetNowMicros()) * time.Microsecond)
	r := result{version: reply.GetVersion(), age: time.Duration(reply.GetAgeMicros()) * time.Microsecond}
	if r.age > staleAfter {
		return result{}, staleError(p, r.age)
	}
	for _, row := range reply.GetRows() {
		r.changes = append(r.changes, store.Change{Row: rowFromWire(row), Deleted: row.GetDeleted()})
	}
	return r, nil
}

// errorOf makes a store's error of a gRPC one.
func errorOf(p peer, err error) error {
	switch status.Code(err) {
	case codes.OutOfRange:
		return fmt.Errorf("ask %s: %w", p.name, store.ErrCompacted)
	case codes.FailedPrecondition:
		return fmt.Errorf("ask %s: %w: %w", p.name, errStoreLost, store.ErrUnavailable)
	default:
		return fmt.Errorf("ask %s: %w", p.name, err)
	}
}

func rowFromWire(r *spreadpb.Row) store.Row {
	return store.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion()}
}

func rowToWire(r store.Row, deleted bool) *spreadpb.Row {
	return &spreadpb.Row{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: deleted}
}
