package spread

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/spread/spreadpb"
	"quaybarrow/internal/store"
)

// Parameters of the connections between hosts.
const (
	connectTimeout  = time.Second
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = time.Second
	maxMessageBytes = 16 << 20 // enough for a table of thousands of endpoints
	writeBuffer     = 4 << 10  // small, because hosts have little memory and many connections
	readBuffer      = 4 << 10
)

// waitForReady makes a call wait for a connection until its deadline.
var waitForReady = grpc.WaitForReady(true)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// staleError returns the error for an update that is too old, or older than the state that this
// host has.
func staleError(p peer, age time.Duration) error {
	return fmt.Errorf("ask %s: update is %s old: %w: %w", p.name, age, errStoreUnreachable, store.ErrUnavailable)
}

// errStoreUnreachable means that the host that was asked cannot reach the store.
var errStoreUnreachable = errors.New("host cannot reach the store")

// errTableTooLong means that a table has too many rows to be sent whole.
var errTableTooLong = errors.New("table is too long to be sent whole")

// errClosed means that the watcher of this host is closed.
var errClosed = errors.New("watcher is closed")

func isStoreUnreachable(err error) bool { return errors.Is(err, errStoreUnreachable) }

// connPool holds the connections to other hosts. It is safe for concurrent use.
type connPool struct {
	credentials credentials.TransportCredentials
	dial        Dialer

	mu            sync.Mutex // guards the fields below
	conns         map[string]*grpc.ClientConn
	timeoutsSince map[string]clock.Instant // by address; time of the first timeout since the last answer
	refused       map[string]bool          // by address: whether the last attempt to connect was refused
	closed        bool
}

func newConnPool(c credentials.TransportCredentials, dial Dialer) *connPool {
	if dial == nil {
		dialer := conn.CallerLiveness.Dialer(connectTimeout)
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		}
	}
	return &connPool{credentials: c, dial: dial, conns: map[string]*grpc.ClientConn{}, timeoutsSince: map[string]clock.Instant{}, refused: map[string]bool{}}
}

// close closes all connections.
func (pool *connPool) close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closed = true
	for address, c := range pool.conns {
		_ = c.Close()
		delete(pool.conns, address)
	}
}

// conn returns the connection to an address, and creates it if there is none.
func (pool *connPool) conn(address string) (*grpc.ClientConn, error) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.closed {
		return nil, errClosed
	}
	if c, ok := pool.conns[address]; ok {
		return c, nil
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(pool.credentials), grpc.WithUnaryInterceptor(pool.trackAnswers(address)),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithWriteBufferSize(writeBuffer), grpc.WithReadBufferSize(readBuffer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithContextDialer(pool.dialAndNote),
	}
	c, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	pool.conns[address] = c
	delete(pool.timeoutsSince, address) // timeouts of an earlier connection do not count
	return c, nil
}

// dialAndNote opens a connection, and notes whether it was refused.
func (pool *connPool) dialAndNote(ctx context.Context, address string) (net.Conn, error) {
	c, err := pool.dial(ctx, address)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		pool.refused[address] = true
	} else {
		delete(pool.refused, address)
	}
	return c, err
}

// Refuses reports whether the last attempt to connect to another host was refused: no process listens there.
func (w *Watcher) Refuses(address string) bool {
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	return w.pool.refused[address]
}

// connected reports whether there is a connection to an address.
func (pool *connPool) connected(address string) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	c, ok := pool.conns[address]
	return ok && c.GetState() == connectivity.Ready
}

// Conn returns the connection to another host, for use by other services too.
func (w *Watcher) Conn(address string) (grpc.ClientConnInterface, error) { return w.pool.conn(address) }

// read requests changes of a table, or the whole table, from another host.
func (pool *connPool) read(ctx context.Context, p peer, request *spreadpb.ReadRequest, recordClock func(shown clock.Bounds, sent clock.Instant)) (tableUpdate, error) {
	c, err := pool.conn(p.address)
	if err != nil {
		return tableUpdate{}, err
	}
	sent := clock.Now()
	reply, err := spreadpb.NewSpreadClient(c).Read(ctx, request)
	if err != nil {
		return tableUpdate{}, storeError(p, err)
	}
	recordClock(clock.Bounds{Earliest: clock.Micros(reply.GetEarliestMicros()), Latest: clock.Micros(reply.GetLatestMicros())}, sent)
	update := tableUpdate{
		version: reply.GetVersion(), age: clock.Micros(reply.GetAgeMicros()),
		keyHash: reply.GetKeys(), hasKeyHash: true,
	}
	rows := reply.GetRows()
	if len(reply.GetPacked()) > 0 {
		if rows, err = unpack(reply.GetPacked()); err != nil {
			return tableUpdate{}, fmt.Errorf("ask %s: %w", p.name, err)
		}
	}
	for _, row := range rows {
		update.changes = append(update.changes, store.Change{Row: rowFromWire(row), Deleted: row.GetDeleted()})
	}
	return update, nil
}

// storeError converts a gRPC error to an error of this package or of store.
func storeError(p peer, err error) error {
	switch status.Code(err) {
	case codes.OutOfRange:
		return fmt.Errorf("ask %s: %w", p.name, errTableTooLong)
	case codes.FailedPrecondition:
		return fmt.Errorf("ask %s: %w: %w", p.name, errStoreUnreachable, store.ErrUnavailable)
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
