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

// Limits on fetching load reports.
const (
	maxReportBytes       = 64 << 10
	maxConcurrentFetches = 8
)

// Report is the load report of an engine.
type Report struct {
	Running  int       `json:"running"`
	Queued   int       `json:"queued"`
	Slots    int       `json:"slots"`
	Draining bool      `json:"draining"`
	Versions []string  `json:"versions"` // loaded versions, in the form model@version
	At       time.Time `json:"at"`
}

// Fetcher fetches the load report of the engine at an address.
type Fetcher func(ctx context.Context, address string) (Report, error)

// HTTPFetcher returns a Fetcher that requests load reports over HTTP.
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

// Run periodically applies the host list and fetches load reports until ctx is done.
func (w *Watch) Run(ctx context.Context) {
	for {
		w.Sync()
		w.Refresh(ctx)
		if !clock.Sleep(ctx, clock.Around(w.period())) {
			return
		}
	}
}

// reportsPerPeriod is the number of reports fetched in each Options.Period. With more engines
// to watch, the interval between two reports of the same engine grows instead.
const reportsPerPeriod = 3

// period returns the interval between two reports of an engine.
func (w *Watch) period() time.Duration {
	return w.options.Period * time.Duration(max(len(w.engines()), reportsPerPeriod)) / reportsPerPeriod
}

// Refresh fetches the report of every watched engine, at most maxConcurrentFetches at a time.
func (w *Watch) Refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(w.options.Period, time.Second))
	defer cancel()
	slots := make(chan struct{}, maxConcurrentFetches)
	var wait sync.WaitGroup
	for _, e := range w.engines() {
		if w.fleet.Paused(e.ID) {
			continue // it wants nothing from this host
		}
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

// refresh fetches the report of one engine. A failed fetch doesn't eject the engine; only the
// outcomes of attempts to send it requests do.
func (w *Watch) refresh(ctx context.Context, e fleet.Endpoint) {
	start, inFlight := clock.Now(), w.fleet.InFlight(e.ID)
	report, err := w.options.Fetch(ctx, e.Address)
	if err != nil {
		return
	}
	w.fleet.Report(e.ID, fleet.Report{
		Load:     fleet.Load{Running: report.Running, Waiting: report.Queued, Slots: report.Slots},
		Draining: report.Draining, Models: append([]string{}, report.Versions...), Asked: start, InFlight: inFlight,
	})
}
