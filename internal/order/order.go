// Package order makes engines load and unload model versions, by orders that are fenced by the epoch
// of the lease under which they are sent.
//
// # Usage
//
//	reconciler := order.New(options)
//	leases.Run(ctx, order.LeaseName(hall), reconciler.Run(hall))
//
// Orders are derived from the configuration and the engines' reports, so no state is stored. A
// withdrawn version that an engine still has loaded is unloaded; this is a second safeguard, as
// hosts themselves refuse requests for it. A canary version that too few engines have loaded is
// loaded, one engine at a time.
package order

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/lease"
	"quaybarrow/internal/store"
)

const (
	reconcileInterval = 2 * time.Second
	orderTimeout      = 30 * time.Second
	minCanaryEngines  = 2 // minimum number of engines in a data hall with a canary version
)

// Action is the kind of an order.
type Action string

// Kinds of orders.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order tells one engine to load or unload a version.
type Order struct {
	Epoch   int64  `json:"epoch"`
	Action  Action `json:"action"`
	Version string `json:"version"`
	engine  store.Host
}

// LeaseName returns the name of the lease for a data hall's orders.
func LeaseName(hall string) string { return "engine-orders/" + hall }

// Options configure a Reconciler.
type Options struct {
	Config    *config.Holder
	List      func() []store.Host
	Fetch     endpoint.Fetcher
	Transport http.RoundTripper
}

// Reconciler sends orders to the engines of the data halls whose leases this host holds.
type Reconciler struct{ options Options }

// New returns a Reconciler with the given options.
func New(options Options) *Reconciler { return &Reconciler{options: options} }

// Run returns the duty that sends the orders of a data hall while the lease is held.
func (r *Reconciler) Run(hall string) lease.Duty {
	return func(ctx context.Context, l *lease.Lease) {
		for l.Valid() && ctx.Err() == nil {
			r.Reconcile(ctx, l, hall)
			clock.Sleep(ctx, reconcileInterval)
		}
	}
}

// engineReport is an engine and its latest report.
type engineReport struct {
	host   store.Host
	report endpoint.Report
}

// Reconcile compares the versions that engines have loaded with those that they should have, and
// sends orders for the differences.
func (r *Reconciler) Reconcile(ctx context.Context, l *lease.Lease, hall string) {
	snapshot := r.options.Config.Current()
	if snapshot == nil {
		return
	}
	var engines []engineReport
	for _, h := range r.options.List() {
		if h.Kind != store.HostEngine || h.DataHall != hall || h.State != store.HostLive {
			continue
		}
		report, err := r.options.Fetch(ctx, h.Address)
		if err == nil {
			engines = append(engines, engineReport{h, report})
		}
	}
	for _, o := range ordersFor(snapshot, engines) {
		if !l.Valid() || ctx.Err() != nil {
			return
		}
		o.Epoch = l.Epoch()
		// A refused or lost order is sent again by the next reconciliation.
		_ = r.send(ctx, o)
	}
}

// ordersFor derives the orders from the configuration and the reports.
func ordersFor(snapshot *config.Snapshot, engines []engineReport) []Order {
	var list []Order
	enginesWith := map[string]int{}
	for _, e := range engines {
		for _, v := range e.report.Versions {
			enginesWith[v]++
			if snapshot.State(declare.ParseRef(v)) == declare.StateWithdrawn {
				list = append(list, Order{Action: ActionUnload, Version: v, engine: e.host})
			}
		}
	}
	for _, m := range snapshot.Revision().Declarations.Models {
		for _, v := range m.Versions {
			name := declare.Ref{Model: m.Name, Version: v.Name}.String()
			if v.State != declare.StateCanary || enginesWith[name] >= min(minCanaryEngines, len(engines)) {
				continue
			}
			if e, ok := leastLoaded(engines, name); ok {
				list = append(list, Order{Action: ActionLoad, Version: name, engine: e.host})
			}
		}
	}
	return list
}

// leastLoaded returns the engine with the fewest running requests among those that lack a version.
func leastLoaded(engines []engineReport, version string) (engineReport, bool) {
	candidates := engines[:0:0]
	for _, e := range engines {
		if !contains(e.report.Versions, version) && !e.report.Draining {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return engineReport{}, false
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if a.report.Running != b.report.Running {
			return a.report.Running < b.report.Running
		}
		return a.host.ID < b.host.ID
	})
	return candidates[0], true
}

func contains(versions []string, version string) bool {
	for _, v := range versions {
		if v == version {
			return true
		}
	}
	return false
}

// send sends one order to its engine.
func (r *Reconciler) send(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.engine.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build order: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := r.options.Transport.RoundTrip(request)
	if err != nil {
		return fmt.Errorf("order %s to %s: %w", o.Action, o.engine.ID, err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("order %s to %s: status %d", o.Action, o.engine.ID, response.StatusCode)
	}
	return nil
}
