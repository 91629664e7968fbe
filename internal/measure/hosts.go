package measure

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/config"
	"quaybarrow/internal/membership"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/peer/rpc"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/standin/table"
	"quaybarrow/internal/store"
)

// Shape of the two years' size.
const (
	regions   = 6
	dataHalls = 17
)

// wireOverhead is what HTTP/2, TCP and IP add to a message and its reply, in
// bytes: headers of two frames each way are compressed to a few dozen bytes, and
// each way takes a packet of 66 bytes of headers and an acknowledgement.
const wireOverhead = 300

// manyHosts is many hosts with only what spreads: membership and configuration.
type manyHosts struct {
	network *peer.LocalNetwork
	hosts   []*spreadHost
	bytes   atomic.Int64
	latency func(from, to string) time.Duration
	cancel  context.CancelFunc
	wait    sync.WaitGroup
}

// spreadHost is one of many hosts; it implements peer.Handler.
type spreadHost struct {
	name, hall, region string
	holder             *config.Holder
	members            *membership.Membership
	distributor        *config.Distributor
}

func (h *spreadHost) status() peer.Status {
	age, confirmed := h.holder.Age()
	return peer.Status{
		Host: h.name, DataHall: h.hall, Region: h.region, Address: h.name, Incarnation: "c0ffee00-0000-4000-8000-000000000000",
		Revision: h.holder.Number(), Age: age, Confirmed: confirmed,
	}
}

// Ping implements peer.Handler.
func (h *spreadHost) Ping(_ context.Context, s peer.Status) (peer.Status, error) {
	return h.members.HandlePing(s), nil
}

// Fetch implements peer.Handler.
func (h *spreadHost) Fetch(_ context.Context, above int64) (peer.RevisionMessage, error) {
	return h.distributor.Fetch(above)
}

// Push implements peer.Handler.
func (h *spreadHost) Push(ctx context.Context, p peer.Push) ([]peer.Confirmation, error) {
	return h.distributor.Push(ctx, p)
}

// Hold implements peer.Handler.
func (h *spreadHost) Hold(context.Context, peer.Hold) error { return nil }

// Grant implements peer.Handler.
func (h *spreadHost) Grant(context.Context, peer.Grant) error { return nil }

// Show implements peer.Handler.
func (h *spreadHost) Show(_ context.Context, q peer.Query) (peer.Reply, error) {
	return h.members.HandleListQuery(q.ID)
}

// Tell implements peer.Handler.
func (h *spreadHost) Tell(context.Context, quarantine.Update) (quarantine.Update, error) {
	return quarantine.Update{}, nil
}

// countingLink counts the bytes of messages and delays them.
type countingLink struct {
	peer.Link
	manyHosts *manyHosts
	from      string
}

// Ping implements peer.Link.
func (l countingLink) Ping(ctx context.Context, address string, s peer.Status) (peer.Status, error) {
	l.manyHosts.delay(ctx, l.from, address)
	reply, err := l.Link.Ping(ctx, address, s)
	l.manyHosts.bytes.Add(int64(rpc.StatusSize(s) + rpc.StatusSize(reply) + wireOverhead))
	return reply, err
}

// Push implements peer.Link.
func (l countingLink) Push(ctx context.Context, address string, p peer.Push) ([]peer.Confirmation, error) {
	l.manyHosts.delay(ctx, l.from, address)
	l.manyHosts.bytes.Add(int64(rpc.PushSize(p) + wireOverhead))
	return l.Link.Push(ctx, address, p)
}

// Show implements peer.Link.
func (l countingLink) Show(ctx context.Context, address string, q peer.Query) (peer.Reply, error) {
	l.manyHosts.delay(ctx, l.from, address)
	reply, err := l.Link.Show(ctx, address, q)
	l.manyHosts.bytes.Add(int64(len(reply.Data) + len(q.ID) + wireOverhead))
	return reply, err
}

// delay waits a round trip.
func (f *manyHosts) delay(ctx context.Context, from, to string) {
	if f.latency != nil {
		clock.Sleep(ctx, f.latency(from, to))
	}
}

// newFleet starts hosts spread over data halls and regions.
func newFleet(count int, rows *table.Store, latency func(from, to string) time.Duration) *manyHosts {
	ctx, cancel := context.WithCancel(context.Background())
	f := &manyHosts{network: peer.NewLocalNetwork(), latency: latency, cancel: cancel}
	log := config.NewLog(rows)
	halls := min(dataHalls, max(3, count/20))
	for i := range count {
		hall := i % halls
		h := &spreadHost{
			name: fmt.Sprintf("entry-%03d", i), hall: fmt.Sprintf("hall-%02d", hall), region: fmt.Sprintf("region-%d", hall%regions),
			holder: config.NewHolder(),
		}
		link := countingLink{Link: f.network.Link(h.name), manyHosts: f, from: h.name}
		h.members = membership.New(membership.Options{
			Hosts: rows, Link: link, Self: h.status, PingPeriod: time.Second, ListPeriod: time.Second,
			Observe: func(s peer.Status, at clock.Instant) { h.distributor.Observe(s, at) },
		})
		h.distributor = config.NewDistributor(config.DistributorOptions{
			Log: log, Holder: h.holder, Link: link, View: h.members.View, Poll: time.Second, Backstop: 30 * time.Second,
		})
		rows.SetHost(store.Host{ID: h.name, Kind: store.HostEntry, DataHall: h.hall, Region: h.region, Address: h.name, State: store.HostLive})
		f.network.Serve(h.name, h)
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		f.wait.Go(func() { h.members.Run(ctx) })
		f.wait.Go(func() { h.distributor.Run(ctx) })
	}
	return f
}

func (f *manyHosts) close() {
	f.cancel()
	f.wait.Wait()
}

// twoPeriods covers two pings of every watched host of the largest manyHosts.
const twoPeriods = 5 * time.Second

// controlTraffic measures what membership and configuration cost a host as the
// number of hosts grows.
func controlTraffic(each time.Duration, counts []int) (Table, error) {
	t := Table{
		Title:   "Membership and configuration in peace: messages, bytes and CPU of a host by number of hosts",
		Columns: []string{"hosts", "data halls", "watched by a host", "messages/s per host", "bytes/s per host, in and out", "CPU of a core per host", "table calls/s, all hosts"},
	}
	var x, y []float64
	for _, n := range counts {
		store := table.New(table.Options{})
		if err := acceptSample(store, 10); err != nil {
			return Table{}, err
		}
		f := newFleet(n, store, nil)
		time.Sleep(2 * time.Second) // lists are read and connections would be made
		messages, bytes, calls := f.network.Messages(), f.bytes.Load(), store.Counts()
		cpu, started := cpuTime(), time.Now()
		time.Sleep(max(each, twoPeriods))
		elapsed := time.Since(started).Seconds()
		perHost := func(v float64) float64 { return v / elapsed / float64(n) }
		after := store.Counts()
		rate := 2 * perHost(float64(f.bytes.Load()-bytes)) // each message is seen by two hosts
		watched := len(f.hosts[0].members.View().PingTargets())
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(n), fmt.Sprint(min(dataHalls, max(3, n/20))), fmt.Sprint(watched),
			fmt.Sprintf("%.1f", perHost(float64(f.network.Messages()-messages))), fmt.Sprintf("%.0f", rate),
			fmt.Sprintf("%.3f%%", 100*perHost((cpuTime()-cpu).Seconds())),
			fmt.Sprintf("%.1f", float64(after.Gets+after.Scans+after.Commits-calls.Gets-calls.Scans-calls.Commits)/elapsed),
		})
		x, y = append(x, float64(n)), append(y, rate)
		f.close()
	}
	t.Notes = []string{
		fitOf(x, y).text("bytes/s", "host"),
		fmt.Sprintf("Bytes are protobuf sizes plus %d for the transport's headers. Calls between hosts are made in memory here, so the CPU leaves the network stack out; gRPC's own is in the table of peer messages.", wireOverhead),
	}
	return t, nil
}

// acceptSample has a configuration accepted, with so many workspaces.
func acceptSample(store *table.Store, workspaces int) error {
	_, err := config.NewLog(store).Accept(context.Background(), 0, config.Change{
		CommandID: "first", Operator: "measure", Command: "apply", Declarations: sample(workspaces),
	})
	return err
}

// latencies of the two years' size: a millisecond within a region, forty between.
func distant(f *manyHosts) func(from, to string) time.Duration {
	region := map[string]string{}
	for _, h := range f.hosts {
		region[h.name] = h.region
	}
	return func(from, to string) time.Duration {
		if region[from] == region[to] {
			return 2 * time.Millisecond
		}
		return 80 * time.Millisecond
	}
}

// spreadTime measures the time from acceptance to in force as hosts grow.
func spreadTime(counts []int) (Table, error) {
	t := Table{
		Title:   "A change of configuration: time from acceptance to in force everywhere, by number of hosts",
		Columns: []string{"hosts", "changes", "median", "longest", "messages per change", "bytes per change, all hosts"},
		Notes:   []string{"Round trips of 2 ms within a region and 80 ms between are put into the links; 340 hosts stand in 17 data halls of 6 regions."},
	}
	const changes = 10
	for _, n := range counts {
		store := table.New(table.Options{})
		if err := acceptSample(store, 100); err != nil {
			return Table{}, err
		}
		f := newFleet(n, store, nil)
		f.latency = distant(f)
		time.Sleep(2500 * time.Millisecond)
		log := config.NewLog(store)
		var took []time.Duration
		messages, bytes := f.network.Messages(), f.bytes.Load()
		for i := range changes {
			started := time.Now()
			next := sample(100)
			next.Models[0].Versions[0].OutputCost += int64(i)
			r, err := log.Accept(context.Background(), int64(i+1), config.Change{CommandID: fmt.Sprint(i), Declarations: next})
			if err != nil {
				return Table{}, err
			}
			h := f.hosts[i%n]
			h.holder.Apply(r)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			state := h.distributor.AwaitInForce(ctx, r)
			cancel()
			if !state.Everywhere() {
				return Table{}, fmt.Errorf("revision %d is not in force on %v", r.Number, state.Lagging)
			}
			took = append(took, time.Since(started))
		}
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(n), fmt.Sprint(changes), quantile(took, 0.5).Round(time.Millisecond).String(), quantile(took, 1).Round(time.Millisecond).String(),
			fmt.Sprintf("%.0f", float64(f.network.Messages()-messages)/changes), fmt.Sprintf("%.0f", float64(f.bytes.Load()-bytes)/changes),
		})
		f.close()
	}
	return t, nil
}
