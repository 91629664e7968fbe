package duty

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"quaybarrow/internal/duty/dutypb"
	"quaybarrow/internal/usage"
)

// server answers the host that does the duties.
type server struct {
	dutypb.UnimplementedDutyServer
	keeper *Coordinator
}

// Account implements dutypb.DutyServer.
func (s *server) Account(ctx context.Context, r *dutypb.AccountRequest) (*dutypb.AccountReply, error) {
	reply := &dutypb.AccountReply{}
	for _, a := range s.keeper.Tell(ctx, questionFromWire(r)) {
		reply.Hosts = append(reply.Hosts, answerToWire(a))
	}
	return reply, nil
}

// Connect returns the connection to an address.
type Connect func(address string) (grpc.ClientConnInterface, error)

// grpcAsker asks over gRPC.
type grpcAsker struct{ connect Connect }

// NewQuerier returns an asker over connections that other services share.
func NewQuerier(connect Connect) Querier { return grpcAsker{connect} }

// Ask implements Asker.
func (a grpcAsker) Ask(ctx context.Context, address string, q Question) ([]Answer, error) {
	connection, err := a.connect(address)
	if err != nil {
		return nil, errAsk(address, err)
	}
	reply, err := dutypb.NewDutyClient(connection).Account(ctx, questionToWire(q))
	if err != nil {
		return nil, errAsk(address, err)
	}
	answers := make([]Answer, len(reply.GetHosts()))
	for i, h := range reply.GetHosts() {
		answers[i] = answerFromWire(h)
	}
	return answers, nil
}

func questionToWire(q Question) *dutypb.AccountRequest {
	w := &dutypb.AccountRequest{WindowMs: q.Window.Milliseconds(), Since: int64(q.Since), Free: q.Free}
	if q.Known {
		w.NowMs = q.Now.UnixMilli()
	}
	if q.Copy != nil {
		w.Copy = answerToWire(*q.Copy)
	}
	for _, m := range q.Relay {
		w.Relay = append(w.Relay, &dutypb.Member{Name: m.Name, Address: m.Address})
	}
	return w
}

func questionFromWire(w *dutypb.AccountRequest) Question {
	q := Question{
		Known: w.GetNowMs() > 0, Now: time.UnixMilli(w.GetNowMs()), Window: time.Duration(w.GetWindowMs()) * time.Millisecond, Since: usage.Window(w.GetSince()),
		Free: w.GetFree(),
	}
	if w.GetCopy() != nil {
		a := answerFromWire(w.GetCopy())
		q.Copy = &a
	}
	for _, m := range w.GetRelay() {
		q.Relay = append(q.Relay, Member{Name: m.GetName(), Address: m.GetAddress()})
	}
	return q
}

func answerToWire(a Answer) *dutypb.Host {
	w := &dutypb.Host{Name: a.Host, Lifetime: a.Account.Incarnation, ShownMs: a.Shown.UnixMilli(), Copy: a.Copied, Running: map[string]int64{}}
	for service, n := range a.Running {
		w.Running[service] = int64(n)
	}
	for number, counts := range a.Account.Windows {
		w.Windows = append(w.Windows, &dutypb.Window{Number: int64(number), Counts: counts})
	}
	return w
}

func answerFromWire(w *dutypb.Host) Answer {
	a := Answer{
		Host: w.GetName(), Shown: time.UnixMilli(w.GetShownMs()), Copied: w.GetCopy(), Running: map[string]int{},
		Account: usage.HostUsage{Incarnation: w.GetLifetime(), Windows: map[usage.Window]usage.Counts{}},
	}
	for service, n := range w.GetRunning() {
		a.Running[service] = int(n)
	}
	for _, win := range w.GetWindows() {
		a.Account.Windows[usage.Window(win.GetNumber())] = win.GetCounts()
	}
	return a
}
