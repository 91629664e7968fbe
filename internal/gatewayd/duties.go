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

// leaseFactor times the DutyTurns setting is the length of the lease on the duties. Two hosts must not
// act alternately within DutyTurns; a host that takes over a lapsed lease has then waited that long.
const leaseFactor = 4.0 / 3

// incarnation identifies this start of the host.
type incarnation string

func newIncarnation() incarnation { return incarnation(uuid.NewString()) }

// newUsage returns the counter of requests that begin, or nil if usage is not reported.
func newUsage(s settings.Settings, incarnationID incarnation) *usage.Counter {
	if s.Gateway.Duties == "" || s.Gateway.UsageWindow <= 0 {
		return nil
	}
	return usage.NewCounter(string(incarnationID))
}

func newDuties(s settings.Settings, incarnationID incarnation, p Ports, tables store.Tables, w *spread.Watcher, a *advice.Advisor, f *fleet.Fleet, u *upgrade.Tracker,
	h *route.Holder, g *gateway.Gateway, counter *usage.Counter, l *log.Logger,
) *duty.Coordinator {
	o := duty.Options{
		Host: s.Host, Incarnation: string(incarnationID), Tables: tables, Counter: counter, Querier: duty.NewQuerier(w.Conn),
		Members: func() []duty.Member { return dutyMembers(w) }, Successors: w.FollowingHosts, Running: g.Running, EndpointCounts: endpointCounts(f, u), EvacuatedHalls: f.Evacuated,
		Services: func() []duty.Service { return scaledServices(h.Table()) }, Logger: l,
	}
	if s.Gateway.Duties != "" {
		o.Window = s.Gateway.UsageWindow
		o.Platform = platform.NewDutyClient(s.Gateway.Duties, p.Dial)
		o.Leases = lease.NewManager(lease.Options{
			Tables: tables, Host: s.Host, Incarnation: string(incarnationID), Length: time.Duration(leaseFactor * float64(s.Gateway.DutyTurns)),
			Rank: a.Rank, HandoverDelay: s.Gateway.DutyTurns,
		})
	}
	return duty.New(o)
}

// endpointCounts returns a function that counts a service's endpoints, with those of an upgrade's new
// version counted separately.
func endpointCounts(f *fleet.Fleet, u *upgrade.Tracker) func(service string) (map[string]capacity.EndpointCounts, bool) {
	return func(service string) (map[string]capacity.EndpointCounts, bool) {
		from, upgrading := u.InProgress(service)
		return f.EndpointCounts(service, from), upgrading
	}
}

// dutyMembers returns the other hosts, which are asked for their usage counts.
func dutyMembers(w *spread.Watcher) []duty.Member {
	var list []duty.Member
	for _, m := range w.Members() {
		list = append(list, duty.Member(m))
	}
	return list
}

// scaledServices returns the services whose endpoints this installation orders from the platform.
func scaledServices(t *route.Table) []duty.Service {
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
