package reach

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/reach/reachpb"
	"quaybarrow/internal/telemetry"
)

// helperDialTimeout is how long a host tries to connect for another one.
const helperDialTimeout = 200 * time.Millisecond

// Register adds the Reach service, by which other hosts connect through this one, to a gRPC server.
func Register(s grpc.ServiceRegistrar, t *Tracker) { reachpb.RegisterReachServer(s, t.server) }

// server relays connections for other hosts.
type server struct {
	reachpb.UnimplementedReachServer
	tracker  *Tracker
	draining atomic.Bool

	mu      sync.Mutex // guards relayed
	relayed map[*relayed]struct{}
}

func newServer(t *Tracker) *server { return &server{tracker: t, relayed: map[*relayed]struct{}{}} }

// relayed is a connection that this host relays.
type relayed struct {
	stream grpc.BidiStreamingServer[reachpb.Frame, reachpb.Frame]
	conn   *Conn

	// unwritten is set while data is written to the endpoint, and stays set if that fails: a socket tells
	// its error once, so that a read which follows a failed write ends as if the endpoint had closed.
	unwritten atomic.Bool

	mu    sync.Mutex // guards ended; a stream takes one frame at a time
	ended bool       // the call has ended
}

// Ping implements reachpb.ReachServer.
func (s *server) Ping(context.Context, *reachpb.PingRequest) (*reachpb.PingReply, error) {
	return &reachpb.PingReply{}, nil
}

// Connect implements reachpb.ReachServer.
func (s *server) Connect(stream grpc.BidiStreamingServer[reachpb.Frame, reachpb.Frame]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	c, result := s.connect(stream.Context(), first.GetAddress(), first.GetCheck())
	s.tracker.countServed(result)
	if c == nil {
		return stream.Send(&reachpb.Frame{Result: result})
	}
	defer func() { _ = c.Close() }()
	r := &relayed{stream: stream, conn: c}
	if !s.add(r) {
		return stream.Send(&reachpb.Frame{Result: reachpb.Result_BUSY})
	}
	defer s.remove(r)
	defer r.end()
	if err := r.send(&reachpb.Frame{Result: reachpb.Result_CONNECTED}); err != nil {
		return err
	}
	stop := context.AfterFunc(stream.Context(), func() { _ = c.Close() })
	defer stop()
	go r.pumpUp()
	return r.send(&reachpb.Frame{End: r.pumpDown()})
}

// connect connects to an endpoint directly, for another host, which may want a connection only to check
// the way.
func (s *server) connect(ctx context.Context, address string, check bool) (*Conn, reachpb.Result) {
	t := s.tracker
	service, _ := t.options.Endpoint(address)
	switch {
	case s.draining.Load():
		return nil, reachpb.Result_DRAINING
	case service == "":
		return nil, reachpb.Result_UNLISTED
	case !check && t.options.Takes != nil && !t.options.Takes(address):
		return nil, reachpb.Result_UNWANTED
	case s.count() >= t.options.MaxRelayed:
		return nil, reachpb.Result_BUSY
	}
	t.mu.Lock()
	l := t.link(address)
	lost := l.lost
	t.mu.Unlock()
	if lost {
		return nil, reachpb.Result_CUT_OFF
	}
	dialCtx, cancel := context.WithTimeout(ctx, helperDialTimeout)
	defer cancel()
	c, err := t.dialDirect(dialCtx, l)
	if err == nil {
		c.SetAbandonable(true)
		return c, reachpb.Result_CONNECTED
	}
	// The other host found the endpoint unreachable too, but this host may be cut off itself.
	t.startCheck(l, Direct, stallCheckAge)
	if t.isCutOff() {
		return nil, reachpb.Result_UNSURE
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, reachpb.Result_REFUSED
	}
	return nil, reachpb.Result_SILENT
}

// pumpUp passes what the other host sends to the endpoint, until the other host ends the call or the
// endpoint takes no more. What it has sent before is still to be read then.
func (r *relayed) pumpUp() {
	for {
		frame, err := r.stream.Recv()
		if err != nil {
			_ = r.conn.Close()
			return
		}
		r.conn.Expect(true)
		r.unwritten.Store(true)
		if _, err := r.conn.Write(frame.GetData()); err != nil {
			return
		}
		r.unwritten.Store(false)
	}
}

// pumpDown passes what the endpoint sends to the other host, and returns how the connection ended.
func (r *relayed) pumpDown() reachpb.End {
	buffer := make([]byte, tunnelBuffer)
	for {
		n, err := r.conn.Read(buffer)
		r.conn.Expect(false)
		if n > 0 {
			if sendErr := r.send(&reachpb.Frame{Data: bytes.Clone(buffer[:n])}); sendErr != nil {
				return reachpb.End_LOST
			}
		}
		if err != nil {
			return r.endOf(err)
		}
	}
}

// endOf returns how a connection ended whose data can't be read.
func (r *relayed) endOf(err error) reachpb.End {
	if !conn.IsDisconnect(err) || r.stream.Context().Err() != nil || r.conn.WayLost(r.stream.Context(), true) {
		return reachpb.End_LOST
	}
	if r.unwritten.Load() || errors.Is(err, syscall.ECONNRESET) {
		return reachpb.End_RESET
	}
	return reachpb.End_CLOSED
}

func (r *relayed) send(f *reachpb.Frame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil
	}
	return r.stream.Send(f)
}

// end makes later calls of send do nothing.
func (r *relayed) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

// add counts a connection; it returns false if there are too many.
func (s *server) add(r *relayed) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.relayed) >= s.tracker.options.MaxRelayed {
		return false
	}
	s.relayed[r] = struct{}{}
	return true
}

func (s *server) remove(r *relayed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.relayed, r)
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.relayed)
}

// Times of waiting for relayed connections to end.
const (
	// quietTime is how long a connection on which no request waits may carry no data before it is
	// taken for idle; streams of events pause for less.
	quietTime = 2500 * time.Millisecond
	// waitInterval is the time between looks at the connections.
	waitInterval = 100 * time.Millisecond
)

// AwaitRelayed waits, after Drain, until this host relays no connection that is in use, or the context
// ends.
func (t *Tracker) AwaitRelayed(ctx context.Context) {
	for t.server.closeIdle() > 0 && clock.Sleep(ctx, waitInterval) {
	}
}

// closeIdle ends the idle connections and returns the number of the others.
func (s *server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	inUse := 0
	for r := range s.relayed {
		if r.conn.quietFor() < quietTime {
			inUse++
			continue
		}
		go func() { _ = r.conn.Close() }()
	}
	return inUse
}

// drain refuses new connections and tells the hosts whose connections are relayed not to reuse them.
func (s *server) drain() {
	s.draining.Store(true)
	s.stopReuse(func(*relayed) bool { return true })
}

// stopReuse tells the hosts of selected connections that are relayed not to reuse them.
func (s *server) stopReuse(selected func(*relayed) bool) {
	s.mu.Lock()
	var list []*relayed
	for r := range s.relayed {
		if selected(r) {
			list = append(list, r)
		}
	}
	s.mu.Unlock()
	for _, r := range list {
		go func() { _ = r.send(&reachpb.Frame{Draining: true}) }()
	}
}

// countServed counts the connections that this host was asked to relay, by result.
func (t *Tracker) countServed(result reachpb.Result) {
	t.options.Telemetry.Count("relays_served", 1, telemetry.Label("result", strings.ToLower(result.String())))
}
