package duty

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"quaybarrow/internal/duty/dutypb"
	"quaybarrow/internal/usage"
)

// server is the gRPC service that answers the host that does the duties.
type server struct {
	dutypb.UnimplementedDutyServer
	coordinator *Coordinator
}

// Account implements dutypb.DutyServer.
func (s *server) Account(ctx context.Context, r *dutypb.AccountRequest) (*dutypb.AccountReply, error) {
	reply := &dutypb.AccountReply{}
	for _, s := range s.coordinator.HandleQuery(ctx, queryFromWire(r)) {
		reply.Hosts = append(reply.Hosts, statusToWire(s))
	}
	return reply, nil
}

// Connect returns the connection to an address.
type Connect func(address string) (grpc.ClientConnInterface, error)

// grpcQuerier queries hosts over gRPC.
type grpcQuerier struct{ connect Connect }

// NewQuerier returns a querier that uses connections shared with other services.
func NewQuerier(connect Connect) Querier { return grpcQuerier{connect} }

// Query implements Querier.
func (a grpcQuerier) Query(ctx context.Context, address string, q Query) ([]HostStatus, error) {
	connection, err := a.connect(address)
	if err != nil {
		return nil, queryError(address, err)
	}
	reply, err := dutypb.NewDutyClient(connection).Account(ctx, queryToWire(q))
	if err != nil {
		return nil, queryError(address, err)
	}
	statuses := make([]HostStatus, len(reply.GetHosts()))
	for i, h := range reply.GetHosts() {
		statuses[i] = statusFromWire(h)
	}
	return statuses, nil
}

func queryToWire(q Query) *dutypb.AccountRequest {
	w := &dutypb.AccountRequest{WindowMs: q.Window.Milliseconds(), Since: int64(q.Since), Free: q.Released}
	if q.NowKnown {
		w.NowMs = q.Now.UnixMilli()
	}
	if q.Backup != nil {
		w.Copy = statusToWire(*q.Backup)
	}
	for _, m := range q.Relay {
		w.Relay = append(w.Relay, &dutypb.Member{Name: m.Name, Address: m.Address})
	}
	return w
}

func queryFromWire(w *dutypb.AccountRequest) Query {
	q := Query{
		NowKnown: w.GetNowMs() > 0, Now: time.UnixMilli(w.GetNowMs()), Window: time.Duration(w.GetWindowMs()) * time.Millisecond, Since: usage.Window(w.GetSince()),
		Released: w.GetFree(),
	}
	if w.GetCopy() != nil {
		a := statusFromWire(w.GetCopy())
		q.Backup = &a
	}
	for _, m := range w.GetRelay() {
		q.Relay = append(q.Relay, Member{Name: m.GetName(), Address: m.GetAddress()})
	}
	return q
}

func statusToWire(a HostStatus) *dutypb.Host {
	w := &dutypb.Host{Name: a.Host, Lifetime: a.Usage.Incarnation, ShownMs: a.WallTime.UnixMilli(), Copy: a.FromBackup, Running: map[string]int64{}}
	for service, n := range a.Running {
		w.Running[service] = int64(n)
	}
	for number, counts := range a.Usage.Windows {
		w.Windows = append(w.Windows, &dutypb.Window{Number: int64(number), Counts: counts})
	}
	return w
}

func statusFromWire(w *dutypb.Host) HostStatus {
	s := HostStatus{
		Host: w.GetName(), WallTime: time.UnixMilli(w.GetShownMs()), FromBackup: w.GetCopy(), Running: map[string]int{},
		Usage: usage.HostUsage{Incarnation: w.GetLifetime(), Windows: map[usage.Window]usage.Counts{}},
	}
	for service, n := range w.GetRunning() {
		s.Running[service] = int(n)
	}
	for _, win := range w.GetWindows() {
		s.Usage.Windows[usage.Window(win.GetNumber())] = win.GetCounts()
	}
	return s
}
