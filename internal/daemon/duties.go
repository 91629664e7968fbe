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

// sweepLease is the name of the lease under which one host settles intents and deletes expired jobs.
const sweepLease = "sweep"

// Parameters of the background tasks.
const (
	sweepInterval        = 10 * time.Second
	sweepsPerExpiry      = 60 // jobs expire at every 60th sweep
	housekeepingInterval = 5 * time.Second
	certificateWarning   = 14 * 24 * time.Hour
	maxExpiredRows       = 1000 // per expiry
)

// sweep periodically settles the intents of lost hosts and deletes expired job results while the lease
// is valid.
func (h *Host) sweep(ctx context.Context, l *lease.Lease) {
	for n := 0; l.Valid() && ctx.Err() == nil; n++ {
		if err := h.Ledger.SweepIntents(ctx); err != nil {
			h.Logger.Debug("sweep of intents failed", "error", err)
		}
		if n%sweepsPerExpiry == 0 {
			if err := h.Jobs.Expire(ctx, maxExpiredRows); err != nil {
				h.Logger.Debug("expiry of jobs failed", "error", err)
			}
		}
		clock.Sleep(ctx, sweepInterval)
	}
}

// runHallOrders starts a candidate for the order lease of every data hall that has hosts.
func (h *Host) runHallOrders(ctx context.Context) {
	running := map[string]bool{}
	for ctx.Err() == nil {
		for _, listed := range h.Membership.Listed() {
			if running[listed.DataHall] {
				continue
			}
			running[listed.DataHall] = true
			hall := listed.DataHall
			h.background.Go(func() { h.Leases.Run(ctx, order.LeaseName(hall), h.Orders.Run(hall)) })
		}
		clock.Sleep(ctx, housekeepingInterval)
	}
}

// housekeeping periodically updates gauges, reloads changed keys, checks the certificate
// and closes links to hosts that are no longer members.
func (h *Host) housekeeping(ctx context.Context) {
	for clock.Sleep(ctx, housekeepingInterval) {
		h.updateGauges()
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

func (h *Host) updateGauges() {
	t := h.Telemetry
	open, pending, held := h.Ledger.Size()
	t.Gauge("bills", float64(open), telemetry.Label("state", "open"))
	t.Gauge("bills", float64(pending), telemetry.Label("state", "pending"))
	t.Gauge("bills", float64(held), telemetry.Label("state", "held"))
	inFlight, waiting := h.Admission.InFlight()
	t.Gauge("requests_in_flight", float64(inFlight))
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
	if left < certificateWarning {
		h.Logger.Warn("certificate expires soon", "at", expiry)
	}
}
