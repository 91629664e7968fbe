package gatewayd

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"quaybarrow/internal/advice"
	"quaybarrow/internal/capacity"
	"quaybarrow/internal/duty"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/gateway"
	"quaybarrow/internal/lease"
	"quaybarrow/internal/route"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/spread"
	"quaybarrow/internal/store"
	"quaybarrow/internal/upgrade"
	"quaybarrow/internal/usage"
	"quaybarrow/platform"
)

// leasePart of the time in which hosts must not act in turns is how long the lease on the duties
// lasts: who takes one that has lapsed has then waited that time out.
const leasePart = 4.0 / 3

// lifetime names this life of the host.
type lifetime string

func newLifetime() lifetime { return lifetime(uuid.NewString()) }

// newUsage returns the counter of requests that begin; nil where nobody asks for it.
func newUsage(s settings.Settings, life lifetime) *usage.Counter {
	if s.Gateway.Duties == "" || s.Gateway.UsageWindow <= 0 {
		return nil
	}
	return usage.NewCounter(string(life))
}

func newDuties(s settings.Settings, life lifetime, p Ports, tables store.Tables, w *spread.Watcher, a *advice.Advisor, f *fleet.Fleet, u *upgrade.Tracker,
	h *route.Holder, g *gateway.Gateway, counter *usage.Counter, l *log.Logger,
) *duty.Coordinator {
	o := duty.Options{
		Host: s.Host, Incarnation: string(life), Tables: tables, Counter: counter, Querier: duty.NewQuerier(w.Conn),
		Members: func() []duty.Member { return peersOf(w) }, Successors: w.FollowingHosts, Running: g.Running, Stocks: stocksOf(f, u), EvacuatedHalls: f.Evacuated,
		Services: func() []duty.Service { return scaled(h.Table()) }, Logger: l,
	}
	if s.Gateway.Duties != "" {
		o.Window = s.Gateway.UsageWindow
		o.Platform = platform.NewDutyClient(s.Gateway.Duties, p.Dial)
		o.Leases = lease.NewManager(lease.Options{
			Tables: tables, Host: s.Host, Incarnation: string(life), Length: time.Duration(leasePart * float64(s.Gateway.DutyTurns)),
			Rank: a.Rank, HandoverDelay: s.Gateway.DutyTurns,
		})
	}
	return duty.New(o)
}

// stocksOf counts the endpoints of services, those that an upgrade brings in apart.
func stocksOf(f *fleet.Fleet, u *upgrade.Tracker) func(service string) (map[string]capacity.EndpointCounts, bool) {
	return func(service string) (map[string]capacity.EndpointCounts, bool) {
		from, upgrading := u.InProgress(service)
		return f.Stocks(service, from), upgrading
	}
}

// peersOf are the other hosts, to be asked for what they count.
func peersOf(w *spread.Watcher) []duty.Member {
	var list []duty.Member
	for _, m := range w.Members() {
		list = append(list, duty.Member(m))
	}
	return list
}

// scaled are the services whose endpoints are ordered.
func scaled(t *route.Table) []duty.Service {
	if t == nil {
		return nil
	}
	var list []duty.Service
	for _, s := range t.Services() {
		if s.Scaling.Enabled() {
			list = append(list, duty.Service{Name: s.Name, Scaling: s.Scaling, Slots: s.Slots})
		}
	}
	return list
}
