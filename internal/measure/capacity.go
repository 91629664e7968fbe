package measure

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net"
	"runtime"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"quaybarrow/internal/billing"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/estimate"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/membership"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/peer/rpc"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/standin/cluster"
	"quaybarrow/internal/standin/engine"
	"quaybarrow/internal/standin/table"
	"quaybarrow/internal/store"
)

// Capacity measures how state, messages, CPU and memory grow.
func Capacity(ctx context.Context, each time.Duration) ([]Table, error) {
	var tables []Table
	for _, f := range []func() (Table, error){
		func() (Table, error) { return controlTraffic(each, []int{7, 120, 340}) },
		func() (Table, error) { return spreadTime([]int{7, 340}) },
		peerMessages, configurationSize, heldBills, watchedEngines, estimateSize,
		func() (Table, error) { return tableCalls(ctx, each) },
	} {
		t, err := f()
		if err != nil {
			return nil, err
		}
		tables = append(tables, t)
	}
	return tables, nil
}

// sample makes declarations with 13 versions and so many workspaces.
func sample(workspaces int) declare.Declarations {
	d := declare.Declarations{Models: []declare.Model{{Name: "support"}, {Name: "summary"}, {Name: "listing"}}}
	for i := range 13 {
		m := &d.Models[i%3]
		m.Versions = append(m.Versions, declare.Version{
			Name: fmt.Sprint(i), State: declare.StateServing, InputCost: 10, OutputCost: int64(30 + i), Quality: 0.9,
		})
	}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%03d", i)
		d.Workspaces = append(d.Workspaces, declare.Workspace{
			Name: name, Allow: []string{"support", "summary", "listing"}, Concurrency: 50,
			Keys:    []declare.Key{{Name: "one", Hash: config.HashKey(name + "1")}, {Name: "two", Hash: config.HashKey(name + "2")}},
			Classes: []declare.TaskClass{{Name: "questions", Models: []string{"support", "listing"}, Target: 0.9}},
		})
	}
	return d
}

// configurationSize measures a revision by number of workspaces.
func configurationSize() (Table, error) {
	t := Table{
		Title:   "A revision of the configuration, with 13 versions, by number of workspaces",
		Columns: []string{"workspaces", "bytes", "bytes compressed", "memory of its snapshot", "CPU to put in force"},
	}
	var x, y []float64
	for _, n := range []int{10, 50, 100, 200} {
		r := config.Revision{Number: 1, Declarations: sample(n)}
		data, err := codec.Encode(r)
		if err != nil {
			return Table{}, err
		}
		var zipped bytes.Buffer
		w := gzip.NewWriter(&zipped)
		if _, err := w.Write(data); err != nil {
			return Table{}, fmt.Errorf("compress: %w", err)
		}
		if err := w.Close(); err != nil {
			return Table{}, fmt.Errorf("compress: %w", err)
		}
		before := heap()
		const copies = 50
		snapshots := make([]*config.Snapshot, copies)
		started := time.Now()
		for i := range snapshots {
			decoded, err := codec.Decode[config.Revision](data)
			if err != nil {
				return Table{}, err
			}
			snapshots[i] = config.NewSnapshot(decoded)
		}
		took := time.Since(started) / copies
		memory := (heap() - before) / copies
		runtime.KeepAlive(snapshots)
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(n), fmt.Sprint(len(data)), fmt.Sprint(zipped.Len()), kilobytes(memory), micros(took),
		})
		x, y = append(x, float64(n)), append(y, float64(len(data)))
	}
	t.Notes = []string{fitOf(x, y).text("bytes", "workspace")}
	return t, nil
}

func kilobytes(b float64) string { return fmt.Sprintf("%.1f KB", b/1000) }

// heldBills measures the memory of copies of open bills.
func heldBills() (Table, error) {
	t := Table{
		Title:   "Copies of open bills: memory and CPU of their holder",
		Columns: []string{"bills", "memory", "bytes per bill", "CPU per bill"},
	}
	var x, y []float64
	for _, n := range []int{10_000, 50_000, 100_000} {
		view := membership.View{Self: "holder"}
		l := billing.New(billing.Options{View: func() membership.View { return view }, Host: "holder", Limit: 1 << 20})
		data := make([][]byte, n)
		for i := range data {
			b := billing.Bill{
				RequestID: fmt.Sprintf("r-00000000-0000-4000-8000-%012d", i), OpeningID: fmt.Sprintf("00000000-0000-4000-8000-%012d", i),
				Workspace: "workspace-001", Subject: "support@7", Class: "questions", Host: "entry-001",
				Incarnation: "00000000-0000-4000-8000-000000000001", State: billing.StateOpen, Opened: time.Now(),
			}
			encodedBill, err := codec.Encode(b)
			if err != nil {
				return Table{}, err
			}
			data[i] = encodedBill
		}
		before, started := heap(), cpuTime()
		const batch = 100
		for i := 0; i < n; i += batch {
			if err := l.Hold(context.Background(), peer.Hold{Owner: "entry-001", Incarnation: "i", Open: data[i : i+batch]}); err != nil {
				return Table{}, fmt.Errorf("hold: %w", err)
			}
		}
		cpu := cpuTime() - started
		memory := heap() - before
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(n), kilobytes(memory), fmt.Sprintf("%.0f", memory/float64(n)), fmt.Sprintf("%.1f µs", cpu.Seconds()*1e6/float64(n)),
		})
		x, y = append(x, float64(n)), append(y, memory)
		runtime.KeepAlive(l)
		runtime.KeepAlive(data)
	}
	t.Notes = []string{fitOf(x, y).text("bytes", "bill")}
	return t, nil
}

// watchedEngines measures a host's state of endpoints by number of engines.
func watchedEngines() (Table, error) {
	t := Table{
		Title:   "Placement: a host's state by number of engines in the list",
		Columns: []string{"engines", "watched", "reports/s", "memory", "CPU to take in the list", "CPU of a choice"},
	}
	for _, n := range []int{20, 100, 300, 1000} {
		hosts := make([]store.Host, n)
		for i := range hosts {
			hosts[i] = store.Host{
				ID: fmt.Sprintf("engine-%04d", i), Kind: store.HostEngine, DataHall: fmt.Sprintf("hall-%02d", i%dataHalls),
				Region: "region-1", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), State: store.HostLive,
			}
		}
		before := heap()
		watch := endpoint.NewWatch(endpoint.Options{Host: "entry-001", Hall: "hall-01", Period: time.Second, List: func() []store.Host { return hosts }})
		watch.Sync()
		memory := heap() - before
		started := time.Now()
		const rounds = 20
		for range rounds {
			watch.Sync()
		}
		syncTime := time.Since(started) / rounds
		started = time.Now()
		const picks = 2000
		for range picks {
			if h, ok := watch.Fleet().Pick(fleet.Request{Key: 7}); ok {
				h.Done(fleet.Result{Outcome: fleet.OutcomeGood})
			}
		}
		pick := time.Since(started) / picks
		watched := len(watch.Fleet().View())
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(n), fmt.Sprint(watched), "3", kilobytes(memory), micros(syncTime), fmt.Sprintf("%.1f µs", pick.Seconds()*1e6),
		})
		runtime.KeepAlive(watch)
	}
	return t, nil
}

// estimateSize measures the sum of ratings by number of workspaces.
func estimateSize() (Table, error) {
	t := Table{
		Title:   "Estimates of quality: the row that every host reads, 13 versions in each workspace",
		Columns: []string{"workspaces", "entries", "bytes", "packed", "read every", "CPU to read"},
	}
	var x, y []float64
	for _, n := range []int{10, 50, 100} {
		var entries []estimate.Entry
		for w := range n {
			for v := range 13 {
				entries = append(entries, estimate.Entry{
					Workspace: fmt.Sprintf("workspace-%03d", w), Class: "questions", Version: declare.Ref{Model: "support", Version: fmt.Sprint(v)},
					Score: estimate.Score{Count: float64(100 + w*13 + v), Mean: 1 / (1.1 + float64(w*13+v)/1300), SquaredDeviations: 1 / (0.1 + float64(v*100+w)/1300)},
				})
			}
		}
		data, err := codec.Encode(entries)
		if err != nil {
			return Table{}, err
		}
		packed, err := codec.Pack(entries)
		if err != nil {
			return Table{}, err
		}
		started := time.Now()
		const rounds = 20
		for range rounds {
			decoded, err := codec.Unpack[[]estimate.Entry](packed)
			if err != nil {
				return Table{}, err
			}
			runtime.KeepAlive(estimate.NewTable(decoded))
		}
		t.Rows = append(t.Rows, []string{fmt.Sprint(n), fmt.Sprint(len(entries)), fmt.Sprint(len(data)), fmt.Sprint(len(packed)), fmt.Sprintf("%d s", max(5, len(packed)/500)), micros(time.Since(started) / rounds)})
		x, y = append(x, float64(len(entries))), append(y, float64(len(data)))
	}
	t.Notes = []string{fitOf(x, y).text("bytes", "entry")}
	return t, nil
}

// peerMessages measures gRPC's cost of a message between hosts.
func peerMessages() (Table, error) {
	t := Table{Title: "A message between hosts over gRPC on loopback", Columns: []string{"message", "round trip p50", "CPU of both sides"}}
	h := &spreadHost{name: "a", holder: config.NewHolder()}
	h.members = membership.New(membership.Options{Hosts: table.New(table.Options{}), Self: h.status, PingPeriod: time.Second, ListPeriod: time.Second})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Table{}, fmt.Errorf("listen: %w", err)
	}
	server := rpc.NewServer(h, insecure.NewCredentials())
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	link := rpc.NewLink(insecure.NewCredentials())
	defer func() { _ = link.Close() }()
	const count = 3000
	var took []time.Duration
	ctx := context.Background()
	if _, err := link.Ping(ctx, listener.Addr().String(), h.status()); err != nil {
		return Table{}, fmt.Errorf("ping: %w", err)
	}
	cpu := cpuTime()
	for range count {
		started := time.Now()
		if _, err := link.Ping(ctx, listener.Addr().String(), h.status()); err != nil {
			return Table{}, fmt.Errorf("ping: %w", err)
		}
		took = append(took, time.Since(started))
	}
	t.Rows = [][]string{{"ping", micros(quantile(took, 0.5)), fmt.Sprintf("%.0f µs", (cpuTime()-cpu).Seconds()*1e6/count)}}
	return t, nil
}

// tableCalls measures the calls to the table service of whole hosts.
func tableCalls(ctx context.Context, each time.Duration) (Table, error) {
	t := Table{
		Title:   "Calls to the table service by whole hosts, with the periods of production",
		Columns: []string{"hosts", "load", "calls/s, all hosts", "calls/s per host", "rows written/s", "throttled", "table calls per request", "bytes per request"},
	}
	times := settings.Default().Times
	for _, n := range []int{hostsOfToday} {
		c, err := cluster.New(ctx, cluster.Options{
			Hosts: n, Engines: 3, Engine: engine.Options{Slots: 512, Token: time.Millisecond}, Times: &times,
			Profiles: map[declare.Ref]engine.Profile{version: {Quality: 1}}, Declarations: declarations(),
		})
		if err != nil {
			return Table{}, fmt.Errorf("start: %w", err)
		}
		time.Sleep(6 * time.Second) // idle workers have come to their longest wait
		idle := row(c, n, "none", 5*each, 0)
		t.Rows = append(t.Rows, idle.cells)
		loaded := row(c, n, "requests", 2*each, idle.rate)
		t.Rows = append(t.Rows, loaded.cells)
		c.Close()
	}
	t.Notes = []string{"Most calls of an idle host are those of its job workers, which look into a shard and wait up to 5 s; then come the estimates, the host list, and the leases of those that hold one."}
	return t, nil
}

// measured is a line of the table with its rate of calls.
type measured struct {
	cells []string
	rate  float64
}

func row(c *cluster.Cluster, n int, load string, length time.Duration, idle float64) measured {
	before, started := c.Store.Counts(), time.Now()
	requests := 0
	if load == "none" {
		time.Sleep(length)
	} else {
		for _, h := range c.Hosts {
			requests += len(run(h.Callers(), "m", 2, length/time.Duration(n)).firsts)
		}
		time.Sleep(3 * time.Second) // the last bills settle
	}
	after, elapsed := c.Store.Counts(), time.Since(started).Seconds()
	calls := float64(after.Gets + after.Scans + after.Commits - before.Gets - before.Scans - before.Commits)
	m := measured{rate: calls / elapsed}
	perRequest, bytesPer := "", ""
	if requests > 0 {
		perRequest = fmt.Sprintf("%.3f", (calls-idle*elapsed)/float64(requests))
		bytesPer = fmt.Sprintf("%.0f", float64(after.Bytes-before.Bytes)/float64(requests))
		load = fmt.Sprintf("%.0f requests/s", float64(requests)/elapsed)
	}
	m.cells = []string{
		fmt.Sprint(n), load, fmt.Sprintf("%.1f", m.rate), fmt.Sprintf("%.2f", m.rate/float64(n)),
		fmt.Sprintf("%.1f", float64(after.Writes-before.Writes)/elapsed), fmt.Sprint(after.Throttled - before.Throttled), perRequest, bytesPer,
	}
	return m
}
