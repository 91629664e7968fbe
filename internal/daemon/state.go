package daemon

import (
	"sync/atomic"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/config"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/settings"
)

// State is what this host tells the others of itself.
type State struct {
	settings settings.Settings
	identity identity
	holder   *config.Holder
	draining atomic.Bool
	spreader atomic.Pointer[config.Spreader] // set once, after membership exists
}

func newState(s settings.Settings, id identity, h *config.Holder) *State {
	return &State{settings: s, identity: id, holder: h}
}

// Status describes this host at the moment.
func (s *State) Status() peer.Status {
	age, confirmed := s.holder.Age()
	return peer.Status{
		Host: s.settings.Host, DataHall: s.settings.DataHall, Region: s.settings.Region, Address: s.settings.Peers,
		Incarnation: s.identity.incarnation, Revision: s.holder.Number(), Age: age, Confirmed: confirmed,
		Draining: s.draining.Load(),
	}
}

// observe passes on what another host said of its configuration.
func (s *State) observe(status peer.Status, at clock.Instant) {
	if spreader := s.spreader.Load(); spreader != nil {
		spreader.Observe(status, at)
	}
}
