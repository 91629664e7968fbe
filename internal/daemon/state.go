package daemon

import (
	"sync/atomic"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/config"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/settings"
)

// State provides the status that this host reports to the others, and receives theirs.
type State struct {
	settings    settings.Settings
	identity    identity
	holder      *config.Holder
	draining    atomic.Bool
	distributor atomic.Pointer[config.Distributor] // set once, after membership exists
}

func newState(s settings.Settings, id identity, h *config.Holder) *State {
	return &State{settings: s, identity: id, holder: h}
}

// Status returns the current status of this host.
func (s *State) Status() peer.Status {
	age, confirmed := s.holder.Age()
	return peer.Status{
		Host: s.settings.Host, DataHall: s.settings.DataHall, Region: s.settings.Region, Address: s.settings.Peers,
		Incarnation: s.identity.incarnation, Revision: s.holder.Number(), Age: age, Confirmed: confirmed,
		Draining: s.draining.Load(),
	}
}

// observe passes the status of another host to the configuration distributor.
func (s *State) observe(status peer.Status, at clock.Instant) {
	if distributor := s.distributor.Load(); distributor != nil {
		distributor.Observe(status, at)
	}
}
