package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/store"
)

// Limits of reading reports.
const (
	maxReportBytes = 64 << 10
	fetchAtOnce    = 8
)

// Report is an engine's report of its load.
type Report struct {
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	Slots    int       `json:"slots"`
	Draining bool      `json:"draining"`
	Versions []string  `json:"versions"`
	At       time.Time `json:"at"`

	refs []declare.Ref
}

// Fetcher reads an engine's report.
type Fetcher func(ctx context.Context, address string) (Report, error)

// HTTPFetcher reads reports over HTTP.
func HTTPFetcher(transport http.RoundTripper) Fetcher {
	return func(ctx context.Context, address string) (Report, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
		if err != nil {
			return Report{}, fmt.Errorf("build load request: %w", err)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			return Report{}, fmt.Errorf("read load of %s: %w", address, err)
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return Report{}, errors.Errorf("read load of %s: status %d", address, response.StatusCode)
		}
		var report Report
		if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
			return Report{}, fmt.Errorf("read load of %s: %w", address, err)
		}
		return report, nil
	}
}

// Run follows the list and the reports until the context ends.
func (p *Pool) Run(ctx context.Context) {
	for {
		p.Sync()
		p.Refresh(ctx)
		if !clock.Sleep(ctx, clock.Around(p.period())) {
			return
		}
	}
}

// reportsPerPeriod is how many reports are read in Options.Period; with more
// engines to watch, the time between two reports of one grows instead.
const reportsPerPeriod = 3

// period is the time between two reports of an engine.
func (p *Pool) period() time.Duration {
	return p.options.Period * time.Duration(max(len(p.engines()), reportsPerPeriod)) / reportsPerPeriod
}

// Refresh reads the report of every watched engine, a few at once.
func (p *Pool) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(p.options.Period, time.Second))
	defer cancel()
	slots := make(chan struct{}, fetchAtOnce)
	var wait sync.WaitGroup
	for _, h := range p.engines() {
		slots <- struct{}{}
		wait.Go(func() {
			p.refresh(ctx, h)
			<-slots
		})
	}
	wait.Wait()
}

func (p *Pool) engines() []store.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	var engines []store.Host
	for _, s := range p.states {
		if s.host.Kind == store.HostEngine {
			engines = append(engines, s.host)
		}
	}
	return engines
}

// refresh reads one report. An engine that can't be reached is not ejected for
// it: attempts decide that.
func (p *Pool) refresh(ctx context.Context, h store.Host) {
	asked := time.Now()
	p.mu.Lock()
	mine := 0
	if s := p.states[h.ID]; s != nil {
		mine = s.flying
	}
	p.mu.Unlock()
	report, err := p.options.Fetch(ctx, h.Address)
	if err != nil {
		return
	}
	report.refs = make([]declare.Ref, len(report.Versions))
	for i, v := range report.Versions {
		report.refs[i] = declare.ParseRef(v)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.states[h.ID]; s != nil && s.host.Address == h.Address {
		s.report, s.reported, s.mine = report, asked, mine
	}
}
