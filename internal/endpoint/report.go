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
	"quaybarrow/internal/fleet"
)

// Limits of reading reports.
const (
	maxReportBytes       = 64 << 10
	maxConcurrentFetches = 8
)

// Report is an engine's report of its load.
type Report struct {
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	Slots    int       `json:"slots"`
	Draining bool      `json:"draining"`
	Versions []string  `json:"versions"` // loaded, as model@version
	At       time.Time `json:"at"`
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
func (w *Watch) Run(ctx context.Context) {
	for {
		w.Sync()
		w.Refresh(ctx)
		if !clock.Sleep(ctx, clock.Around(w.period())) {
			return
		}
	}
}

// reportsPerPeriod is how many reports are read in Options.Period; with more
// engines to watch, the time between two reports of one grows instead.
const reportsPerPeriod = 3

// period is the time between two reports of an engine.
func (w *Watch) period() time.Duration {
	return w.options.Period * time.Duration(max(len(w.engines()), reportsPerPeriod)) / reportsPerPeriod
}

// Refresh reads the report of every watched engine, a few at once.
func (w *Watch) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(w.options.Period, time.Second))
	defer cancel()
	slots := make(chan struct{}, maxConcurrentFetches)
	var wait sync.WaitGroup
	for _, e := range w.engines() {
		slots <- struct{}{}
		wait.Go(func() {
			w.refresh(ctx, e)
			<-slots
		})
	}
	wait.Wait()
}

func (w *Watch) engines() []fleet.Endpoint {
	var engines []fleet.Endpoint
	for _, s := range w.fleet.View() {
		if s.Service == EngineService {
			engines = append(engines, s.Endpoint)
		}
	}
	return engines
}

// refresh reads one report. An engine that can't be reached is not ejected for
// it: attempts decide that.
func (w *Watch) refresh(ctx context.Context, e fleet.Endpoint) {
	asked, inFlight := clock.Now(), w.fleet.InFlight(e.ID)
	report, err := w.options.Fetch(ctx, e.Address)
	if err != nil {
		return
	}
	w.fleet.Report(e.ID, fleet.Report{
		Load:     fleet.Load{Running: report.Running, Waiting: report.Queued, Slots: report.Slots},
		Draining: report.Draining, Models: append([]string{}, report.Versions...), Asked: asked, InFlight: inFlight,
	})
}
