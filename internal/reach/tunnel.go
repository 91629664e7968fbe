package reach

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"quaybarrow/internal/reach/reachpb"
)

// Times of connections through other hosts.
const (
	// tunnelTimeout is how long a host may take to connect: its own dial, and the way there and back.
	tunnelTimeout = helperDialTimeout + 200*time.Millisecond
	// pingAfter is how long nothing may arrive from a host that relays connections before it is asked
	// whether it is there, and pingTimeout how long its answer may take.
	pingAfter   = 300 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// tunnelBuffer is the size of the largest frame.
	tunnelBuffer = 16 << 10
)

// tunnel is a connection to an endpoint that another host relays. Its user's side is a pipe in memory,
// which two goroutines join to the stream of frames.
type tunnel struct {
	net.Conn // the user's side
	inner    net.Conn
	helper   *helper
	tracker  *Tracker
	stream   grpc.BidiStreamingClient[reachpb.Frame, reachpb.Frame]
	cancel   context.CancelFunc
	pending  atomic.Bool // data has arrived that the user has not read
	draining atomic.Bool // the host stops soon
	unsent   atomic.Bool // data of the user could not be sent
	once     sync.Once

	mu    sync.Mutex // guards cause
	cause error      // why reads end; nil before
}

// openTunnel asks a host to connect to an address. It returns no tunnel if the host does not connect,
// with the host's reason, and an error if the host could not be asked.
func (t *Tracker) openTunnel(ctx context.Context, h *helper, address string, p purpose) (*tunnel, reachpb.Result, error) {
	connection, err := t.options.Connect(h.address)
	if err != nil {
		return nil, 0, fmt.Errorf("connect to host %s: %w", h.address, err)
	}
	streamCtx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, cancel)
	timeout := time.AfterFunc(tunnelTimeout, cancel)
	stream, result, err := open(streamCtx, connection, &reachpb.Frame{Address: address, Check: p == forCheck})
	if !timeout.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || result != reachpb.Result_CONNECTED {
		cancel()
		if err != nil && ctx.Err() == nil {
			t.monitor(h) // a connection between hosts may have gone silent
		}
		return nil, result, err
	}
	user, inner := net.Pipe()
	n := &tunnel{Conn: user, inner: inner, helper: h, tracker: t, stream: stream, cancel: cancel}
	t.addTunnel(n)
	go n.pumpUp()
	go n.pumpDown()
	return n, result, nil
}

// open opens a stream to a host and returns the host's result.
func open(ctx context.Context, connection grpc.ClientConnInterface, first *reachpb.Frame) (grpc.BidiStreamingClient[reachpb.Frame, reachpb.Frame], reachpb.Result, error) {
	stream, err := reachpb.NewReachClient(connection).Connect(ctx)
	if err != nil {
		return nil, 0, fmt.Errorf("open stream: %w", err)
	}
	if err := stream.Send(first); err != nil {
		return nil, 0, fmt.Errorf("ask for a connection: %w", err)
	}
	answer, err := stream.Recv()
	if err != nil {
		return nil, 0, fmt.Errorf("read result: %w", err)
	}
	return stream, answer.GetResult(), nil
}

// pumpUp sends what the user writes.
func (n *tunnel) pumpUp() {
	buffer := make([]byte, tunnelBuffer)
	for {
		read, err := n.inner.Read(buffer)
		if err == nil {
			err = n.stream.Send(&reachpb.Frame{Data: bytes.Clone(buffer[:read])})
		}
		if err != nil {
			// The user has closed its side, or pumpDown finds out why the stream ended.
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrClosedPipe) {
				_ = n.stream.CloseSend()
			}
			n.unsent.Store(read > 0)
			// The user reads what has arrived only once it has written its request.
			_, _ = io.Copy(io.Discard, n.inner)
			return
		}
	}
}

// pumpDown passes what the endpoint sends to the user.
func (n *tunnel) pumpDown() {
	cause := n.receive()
	n.mu.Lock()
	n.cause = cause
	n.mu.Unlock()
	_ = n.inner.Close()
	n.end()
}

// receive passes data to the user until the connection ends, and returns why it ended.
func (n *tunnel) receive() error {
	for {
		frame, err := n.stream.Recv()
		if err != nil {
			// The cause is not wrapped: how the stream ended tells nothing about the endpoint.
			return fmt.Errorf("%w: host %s: %v", ErrWayLost, n.helper.address, err) //nolint:errorlint // see above
		}
		n.tracker.heardHelper(n.helper)
		if frame.GetDraining() {
			n.draining.Store(true)
		}
		if len(frame.GetData()) > 0 {
			n.pending.Store(true)
			if _, err := n.inner.Write(frame.GetData()); err != nil {
				return io.ErrClosedPipe // the user has closed its side
			}
			n.pending.Store(false)
		}
		switch frame.GetEnd() {
		case reachpb.End_END_UNSPECIFIED:
		case reachpb.End_CLOSED:
			if n.unsent.Load() {
				return os.NewSyscallError("read", syscall.ECONNRESET)
			}
			return io.EOF
		case reachpb.End_RESET:
			return os.NewSyscallError("read", syscall.ECONNRESET)
		default:
			return fmt.Errorf("%w: host %s has lost its own", ErrWayLost, n.helper.address)
		}
	}
}

// Read implements net.Conn.
func (n *tunnel) Read(b []byte) (int, error) {
	read, err := n.Conn.Read(b)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return read, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cause != nil {
		return read, n.cause
	}
	return read, err
}

// Write implements net.Conn.
func (n *tunnel) Write(b []byte) (int, error) {
	written, err := n.Conn.Write(b)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return written, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cause != nil && !errors.Is(n.cause, io.EOF) {
		return written, n.cause
	}
	return written, err
}

// Close implements net.Conn.
func (n *tunnel) Close() error {
	n.end()
	_ = n.inner.Close()
	return n.Conn.Close()
}

// end ends the stream.
func (n *tunnel) end() {
	n.once.Do(func() {
		n.cancel()
		n.tracker.removeTunnel(n)
	})
}

// reusable reports whether another request may be sent on the connection.
func (n *tunnel) reusable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cause == nil && !n.pending.Load() && !n.draining.Load()
}

func (t *Tracker) addTunnel(n *tunnel) {
	t.mu.Lock()
	n.helper.tunnels[n] = struct{}{}
	t.mu.Unlock()
	t.heardHelper(n.helper)
	t.monitor(n.helper)
}

func (t *Tracker) removeTunnel(n *tunnel) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(n.helper.tunnels, n)
}

func (t *Tracker) heardHelper(h *helper) { h.heardAt.Store(int64(t.now())) }

// monitor watches a host for as long as it relays connections, unless it is watched already.
func (t *Tracker) monitor(h *helper) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.monitoring {
		return
	}
	h.monitoring = true
	go t.watchHelper(h)
}

// watchHelper asks a host from which nothing has arrived whether it is there, and ends its tunnels if
// it does not answer. The call also replaces a connection between the hosts that has gone silent.
func (t *Tracker) watchHelper(h *helper) {
	for {
		if !t.pingHelper(h) {
			t.failHelper(h)
		}
		time.Sleep(pingAfter)
		t.mu.Lock()
		if len(h.tunnels) == 0 {
			h.monitoring = false
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
	}
}

// pingHelper reports whether anything has lately arrived from a host, or it answers a call.
func (t *Tracker) pingHelper(h *helper) bool {
	if heard := h.heardAt.Load(); heard > 0 && t.now()-time.Duration(heard) < pingAfter {
		return true
	}
	connection, err := t.options.Connect(h.address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	if _, err := reachpb.NewReachClient(connection).Ping(ctx, &reachpb.PingRequest{}); err != nil {
		return false
	}
	t.heardHelper(h)
	return true
}

// failHelper ends the tunnels of a host that does not answer.
func (t *Tracker) failHelper(h *helper) {
	t.mu.Lock()
	h.retryAt, h.provenAt = t.now()+failedPause, 0
	tunnels := make([]*tunnel, 0, len(h.tunnels))
	for n := range h.tunnels {
		tunnels = append(tunnels, n)
	}
	t.mu.Unlock()
	for _, n := range tunnels {
		n.end()
	}
	if len(tunnels) > 0 {
		t.options.Logger.Warn("host that relays connections does not answer", "address", h.address, "connections", len(tunnels))
	}
}
