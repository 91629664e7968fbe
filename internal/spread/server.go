package spread

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"quaybarrow/internal/spread/spreadpb"
	"quaybarrow/internal/store"
)

// maxWholeRows is the longest table that is sent whole. Compressed it takes some 400 KB, which a
// host on 10 Mbit/s receives in a third of a second.
const maxWholeRows = 20_000

// noPings turns off the pings of the gRPC library, with which it would replace the user timeout that the
// listener sets on its connections by one of its own.
const noPings time.Duration = math.MaxInt64

// Server returns a gRPC server that serves to other hosts what this host reads.
func (w *Watcher) Server(c credentials.TransportCredentials) *grpc.Server {
	s := grpc.NewServer(
		grpc.Creds(c), grpc.WriteBufferSize(writeBuffer), grpc.ReadBufferSize(readBuffer),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: noPings}),
	)
	spreadpb.RegisterSpreadServer(s, &server{watcher: w, packer: newPacker()})
	return s
}

// server implements the Spread service on top of this host's mirrors.
type server struct {
	spreadpb.UnimplementedSpreadServer
	watcher *Watcher
	packer  *packer
}

// Read implements spreadpb.SpreadServer.
func (s *server) Read(ctx context.Context, r *spreadpb.ReadRequest) (*spreadpb.ReadReply, error) {
	if s.watcher.isStopping() {
		return nil, status.Error(codes.Unavailable, "stopping")
	}
	update, err := s.readTable(ctx, r)
	switch {
	case errors.Is(err, store.ErrUnavailable):
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	case r.GetAfter() < 0 && len(update.changes) > maxWholeRows:
		return nil, status.Error(codes.OutOfRange, errTableTooLong.Error())
	}
	reply := &spreadpb.ReadReply{Version: update.version, AgeMicros: update.age.Microseconds(), Keys: update.keyHash}
	if now, ok := s.watcher.Now(); ok {
		reply.EarliestMicros, reply.LatestMicros = now.Earliest.Microseconds(), now.Latest.Microseconds()+1 // rounded down and up to whole microseconds
	}
	if err := s.packer.fill(reply, r.GetTable(), r.GetAfter(), update); err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return reply, nil
}

// readTable returns the update that answers a request.
func (s *server) readTable(ctx context.Context, r *spreadpb.ReadRequest) (tableUpdate, error) {
	w := s.watcher
	if r.GetLately() {
		return w.recentUpdate(r.GetTable(), r.GetAfter())
	}
	wait := min(time.Duration(r.GetWaitMicros())*time.Microsecond, w.options.peerWait())
	update, err := w.mirror(r.GetTable()).read(ctx, r.GetAfter(), wait)
	if err == nil || r.GetAfter() >= 0 {
		return update, err
	}
	// A host that has just started accepts the state from before the store became unreachable.
	stale, ok := w.cached(r.GetTable()).updateSince(r.GetAfter())
	if !ok {
		return tableUpdate{}, err
	}
	w.options.Logger.Info("store is unreachable; serving the cached table", "table", r.GetTable(), "version", stale.version, "age_ms", stale.age.Milliseconds())
	return stale, nil
}

// recentUpdate returns the cached changes after a version, if the cached state is recent enough to
// be served.
func (w *Watcher) recentUpdate(table string, after int64) (tableUpdate, error) {
	update, ok := w.cached(table).updateSince(after)
	if !ok || update.age > w.options.maxAge() {
		return tableUpdate{}, errors.WithMessage(store.ErrUnavailable, "no recent update of the table")
	}
	return update, nil
}

func (w *Watcher) isStopping() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopping
}
