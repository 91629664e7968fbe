package spread

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"quaybarrow/internal/spread/spreadpb"
	"quaybarrow/internal/store"
)

// Server returns a gRPC server that passes on what this host reads.
func (w *Watcher) Server(c credentials.TransportCredentials) *grpc.Server {
	s := grpc.NewServer(grpc.Creds(c), grpc.WriteBufferSize(writeBuffer), grpc.ReadBufferSize(readBuffer))
	spreadpb.RegisterSpreadServer(s, &server{watcher: w})
	return s
}

// server answers other hosts from this host's mirrors.
type server struct {
	spreadpb.UnimplementedSpreadServer
	watcher *Watcher
}

// State implements spreadpb.SpreadServer.
func (s *server) State(ctx context.Context, r *spreadpb.StateRequest) (*spreadpb.StateReply, error) {
	if s.watcher.isStopping() {
		return nil, status.Error(codes.Unavailable, "stopping")
	}
	if r.GetLately() {
		return s.lately(r)
	}
	m := s.watcher.mirror(r.GetTable())
	state, err := m.State(ctx)
	age := m.age()
	if err != nil {
		last, ok := s.watcher.remember(r.GetTable()).state()
		if !ok {
			return nil, statusOf(err)
		}
		s.watcher.options.Logger.Info("passing on what was known before the store was lost", "table", r.GetTable(), "version", last.Version)
		state, age = last, s.watcher.remember(r.GetTable()).age()
	}
	return s.stateReply(state, age), nil
}

// lately answers with what this host was told a moment ago.
func (s *server) lately(r *spreadpb.StateRequest) (*spreadpb.StateReply, error) {
	k := s.watcher.remember(r.GetTable())
	state, ok := k.lately(r.GetAfter())
	if !ok {
		return nil, status.Error(codes.FailedPrecondition, "nothing was told lately")
	}
	return s.stateReply(state, k.age()), nil
}

func (s *server) stateReply(state store.State, age time.Duration) *spreadpb.StateReply {
	reply := &spreadpb.StateReply{Version: state.Version, NowMicros: s.now(), AgeMicros: age.Microseconds()}
	for _, row := range state.Rows {
		reply.Rows = append(reply.Rows, rowToWire(row, false))
	}
	return reply
}

// Changes implements spreadpb.SpreadServer.
func (s *server) Changes(ctx context.Context, r *spreadpb.ChangesRequest) (*spreadpb.ChangesReply, error) {
	if s.watcher.isStopping() {
		return nil, status.Error(codes.Unavailable, "stopping")
	}
	wait := min(time.Duration(r.GetWaitMicros())*time.Microsecond, peerWait)
	m := s.watcher.mirror(r.GetTable())
	changes, version, err := m.Changes(ctx, r.GetAfter(), wait)
	if err != nil {
		return nil, statusOf(err)
	}
	reply := &spreadpb.ChangesReply{Version: version, NowMicros: s.now(), AgeMicros: m.age().Microseconds()}
	for _, c := range changes {
		reply.Rows = append(reply.Rows, rowToWire(c.Row, c.Deleted))
	}
	return reply, nil
}

// now is the store's clock; 0 if it is not known.
func (s *server) now() int64 {
	now, ok := s.watcher.options.Store.Now()
	if !ok {
		return 0
	}
	return now.Microseconds()
}

func (w *Watcher) isStopping() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopping
}

// statusOf makes a gRPC error of a store's.
func statusOf(err error) error {
	switch {
	case errors.Is(err, store.ErrCompacted):
		return status.Error(codes.OutOfRange, err.Error())
	case errors.Is(err, store.ErrUnavailable):
		return status.Error(codes.FailedPrecondition, err.Error())
	default:
		return status.Error(codes.Unavailable, err.Error())
	}
}
