package gatewayd

import (
	"sync/atomic"

	"github.com/charmbracelet/log"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/route"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/share"
	"quaybarrow/internal/spread"
	"quaybarrow/internal/telemetry"
)

// sharePolicy says whether capacity is shared and with which weights, by the configuration and the
// settings in force. It is safe for concurrent use.
type sharePolicy struct {
	holder   *route.Holder
	settings atomic.Pointer[settings.Gateway]
}

func newSharePolicy(s settings.Settings, h *route.Holder) *sharePolicy {
	p := &sharePolicy{holder: h}
	p.apply(s.Gateway)
	return p
}

// apply puts settings in force.
func (p *sharePolicy) apply(s settings.Gateway) { p.settings.Store(&s) }

// enabled reports whether capacity is shared.
func (p *sharePolicy) enabled() bool {
	t := p.holder.Table()
	return p.settings.Load().SharesCapacity(t != nil && t.SharesCapacity())
}

// weight returns a workspace's weight.
func (p *sharePolicy) weight(workspace string) float64 { return p.settings.Load().Weight(workspace) }

func newShares(s settings.Settings, p *sharePolicy, w *spread.Watcher, f *fleet.Fleet, t *telemetry.Telemetry, l *log.Logger) *share.Shares {
	return share.New(share.Options{
		Host: s.Host, Members: func() []share.Member { return members[share.Member](w) },
		Peers:        share.NewPeerClient(w.Conn),
		MembersKnown: func() bool { return w.Choosers().Hosts > 0 },
		Enabled:      p.enabled, Weight: p.weight,
		Supply:    func(service string) share.Supply { return supplyOf(f, p.holder.Table(), service) },
		Telemetry: t, Logger: l,
	})
}

// supplyOf returns what the endpoints of a service offer.
func supplyOf(f *fleet.Fleet, t *route.Table, service string) share.Supply {
	offered := f.Supply(service)
	s := share.Supply{Endpoints: offered.Endpoints, Parallel: offered.Slots, Pace: offered.Pace}
	if t == nil {
		return s
	}
	if declared, ok := t.Service(service); ok && declared.Slots > 0 {
		s.Parallel = 1 // an engine's work is counted by the time of its whole batch
	}
	return s
}
