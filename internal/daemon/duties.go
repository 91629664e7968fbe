package daemon

import (
	"context"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/lease"
	"quaybarrow/internal/order"
	"quaybarrow/internal/peer/rpc"
	"quaybarrow/internal/telemetry"
)

// dutySweep is the lease under which intents and expired jobs are swept.
const dutySweep = "sweep"

// Periods of background work.
const (
	sweepEvery     = 10 * time.Second
	expireEvery    = 60 // sweeps
	housekeepEvery = 5 * time.Second
	warnExpiry     = 14 * 24 * time.Hour
	expireRows     = 1000
)

// sweep settles the intents of lost hosts and drops old job results.
func (h *Host) sweep(ctx context.Context, l *lease.Lease) {
	for n := 0; l.Valid() && ctx.Err() == nil; n++ {
		if err := h.Ledger.SweepIntents(ctx); err != nil {
			h.Logger.Debug("sweep of intents failed", "error", err)
		}
		if n%expireEvery == 0 {
			if err := h.Jobs.Expire(ctx, expireRows); err != nil {
				h.Logger.Debug("expiry of jobs failed", "error", err)
			}
		}
		clock.Sleep(ctx, sweepEvery)
	}
}

// ordersOfHalls competes for the orders of every data hall that has hosts.
func (h *Host) ordersOfHalls(ctx context.Context) {
	running := map[string]bool{}
	for ctx.Err() == nil {
		for _, listed := range h.Membership.Listed() {
			if running[listed.DataHall] {
				continue
			}
			running[listed.DataHall] = true
			hall := listed.DataHall
			h.working.Go(func() { h.Leases.Run(ctx, order.LeaseName(hall), h.Orders.Run(hall)) })
		}
		clock.Sleep(ctx, housekeepEvery)
	}
}

// housekeeping updates gauges, reads changed keys and closes links to hosts that
// are gone.
func (h *Host) housekeeping(ctx context.Context) {
	for clock.Sleep(ctx, housekeepEvery) {
		h.gauges()
		if err := h.Keyrings.reload(); err != nil {
			h.Logger.Error("session keys can't be read; the old ones stay in use", "error", err)
		}
		h.checkCertificate()
		if link, ok := h.Link.(*rpc.Link); ok {
			link.Prune(h.isMember)
		}
	}
}

func (h *Host) isMember(address string) bool {
	for _, m := range h.Membership.View().Members {
		if m.Address == address {
			return true
		}
	}
	return false
}

func (h *Host) gauges() {
	t := h.Telemetry
	open, pending, held := h.Ledger.Size()
	t.Gauge("bills", float64(open), telemetry.Label("state", "open"))
	t.Gauge("bills", float64(pending), telemetry.Label("state", "pending"))
	t.Gauge("bills", float64(held), telemetry.Label("state", "held"))
	flying, waiting := h.Admission.InFlight()
	t.Gauge("requests_in_flight", float64(flying))
	t.Gauge("requests_waiting", float64(waiting))
	t.Gauge("config_revision", float64(h.Config.Number()))
	if age, ok := h.Config.Age(); ok {
		t.Gauge("config_age_seconds", age.Seconds())
	}
	t.Gauge("outcomes_waiting", float64(h.Guard.PendingUpdates()))
}

func (h *Host) checkCertificate() {
	if h.TLS == nil {
		return
	}
	expiry, err := h.TLS.Expiry()
	if err != nil {
		h.Logger.Error("certificate files can't be read; the old ones stay in use", "error", err)
	}
	left := time.Until(expiry)
	h.Telemetry.Gauge("certificate_seconds_left", left.Seconds())
	if left < warnExpiry {
		h.Logger.Warn("certificate expires soon", "at", expiry)
	}
}
