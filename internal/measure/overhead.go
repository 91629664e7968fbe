// Package measure measures the router's own cost and its slopes, for
// docs/measurements and docs/CAPACITY.md.
//
// # Usage
//
//	table, err := measure.Overhead(ctx, 2*time.Second)
//	fmt.Print(table.Text())
package measure

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"quaybarrow/internal/chat"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/standin/cluster"
	"quaybarrow/internal/standin/engine"
)

// Table is a measured table.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	Notes   []string   `json:"notes,omitempty"`
}

// Text lays the table out as Markdown.
func (t Table) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n| %s |\n|%s\n", t.Title, strings.Join(t.Columns, " | "), strings.Repeat("---|", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	for _, n := range t.Notes {
		fmt.Fprintf(&b, "\n%s\n", n)
	}
	return b.String()
}

// version that all measurements ask.
var version = declare.Ref{Model: "m", Version: "1"}

const key = "key-of-measurements"

func declarations() declare.Declarations {
	return cluster.Declared(declare.Declarations{
		Models: []declare.Model{{Name: "m", Versions: []declare.Version{{Name: "1", State: declare.StateServing, OutputCost: 1}}}},
		Workspaces: []declare.Workspace{{
			Name: "w", Keys: []declare.Key{{Name: "k", Hash: config.HashKey(key)}}, Allow: []string{"m"}, Concurrency: 5000,
		}},
	})
}

// Streams in flight that the overhead is measured at.
var flights = []int{1, 64, 1024}

// chunks of each answer.
const chunks = 20

// one measurement of streams through an address.
type streams struct {
	firsts  []time.Duration // to the first token
	wholes  []time.Duration
	cpu     time.Duration // of the process, stand-ins and callers included
	allocs  uint64
	elapsed time.Duration
}

// Overhead compares requests through a host with requests straight to the same
// engine, in one run.
func Overhead(ctx context.Context, each time.Duration) (Table, error) {
	c, err := cluster.New(ctx, cluster.Options{
		Hosts: 3, Engines: 1, Engine: engine.Options{Slots: 4096, Queue: 4096, Answer: chunks, Token: time.Millisecond},
		Profiles: map[declare.Ref]engine.Profile{version: {Quality: 1}}, Declarations: declarations(),
	})
	if err != nil {
		return Table{}, fmt.Errorf("start: %w", err)
	}
	defer c.Close()
	table := Table{
		Title: "The router's own cost, against the same engine asked directly, in one run",
		Columns: []string{
			"streams in flight", "direct first token p50 / p99", "through the router p50 / p99", "added p50", "added p99",
			"added per chunk p50", "CPU per request", "CPU per chunk", "allocations per request", "requests/s",
		},
	}
	// One warm-up pass opens the connections.
	for _, flight := range flights {
		run(c.EngineAddress(0), "m@1", flight, each/4)
		run(c.Hosts[0].Callers(), "m", flight, each/4)
		direct := run(c.EngineAddress(0), "m@1", flight, each)
		routed := run(c.Hosts[0].Callers(), "m", flight, each)
		table.Rows = append(table.Rows, overheadRow(flight, direct, routed))
	}
	table.Notes = []string{
		fmt.Sprintf("%d cores; caller, engine and three hosts share them in one process. Answers have %d chunks, 1 ms apart or more. CPU and allocations are the routed run's less the direct one's, so the caller and the engine cancel out.", runtime.NumCPU(), chunks),
	}
	return table, nil
}

func overheadRow(flight int, direct, routed streams) []string {
	n := func(s streams) float64 { return float64(max(len(s.firsts), 1)) }
	cpu := routed.cpu.Seconds()/n(routed) - direct.cpu.Seconds()/n(direct)
	allocs := float64(routed.allocs)/n(routed) - float64(direct.allocs)/n(direct)
	first := func(s streams, q float64) time.Duration { return quantile(s.firsts, q) }
	rest := func(s streams) time.Duration { return (quantile(s.wholes, 0.5) - first(s, 0.5)) / chunks }
	return []string{
		fmt.Sprint(flight),
		micros(first(direct, 0.5)) + " / " + micros(first(direct, 0.99)), micros(first(routed, 0.5)) + " / " + micros(first(routed, 0.99)),
		micros(first(routed, 0.5) - first(direct, 0.5)), micros(first(routed, 0.99) - first(direct, 0.99)),
		micros(rest(routed) - rest(direct)),
		fmt.Sprintf("%.0f µs", cpu*1e6), fmt.Sprintf("%.1f µs", cpu*1e6/chunks), fmt.Sprintf("%.0f", allocs),
		fmt.Sprintf("%.0f", n(routed)/routed.elapsed.Seconds()),
	}
}

func micros(d time.Duration) string { return fmt.Sprintf("%d µs", d.Microseconds()) }

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))]
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// run keeps so many streams in flight at an address for a time.
func run(address, model string, flight int, length time.Duration) streams {
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * flight, MaxIdleConns: 0}
	defer transport.CloseIdleConnections()
	var mu sync.Mutex // guards s
	var s streams
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"hello"}]}`, model)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, started := cpuTime(), time.Now()
	var wait sync.WaitGroup
	for range flight {
		wait.Go(func() {
			for time.Since(started) < length {
				first, whole, ok := once(transport, address, body)
				if !ok {
					continue
				}
				mu.Lock()
				s.firsts, s.wholes = append(s.firsts, first), append(s.wholes, whole)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	s.elapsed, s.cpu = time.Since(started), cpuTime()-cpu
	runtime.ReadMemStats(&after)
	s.allocs = after.Mallocs - before.Mallocs
	return s
}

// once sends one request and reads its stream.
func once(transport http.RoundTripper, address string, body []byte) (first, whole time.Duration, ok bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, 0, false
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set(chat.HeaderRequestID, "direct")
	sent := time.Now()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	if _, err := reader.Peek(1); err != nil {
		return 0, 0, false
	}
	first = time.Since(sent)
	if _, err := io.Copy(io.Discard, reader); err != nil || response.StatusCode != http.StatusOK {
		return 0, 0, false
	}
	return first, time.Since(sent), true
}
