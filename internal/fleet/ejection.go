package fleet

import (
	"time"

	"quaybarrow/internal/clock"
)

// EjectionSource is where the evidence for an ejection comes from.
type EjectionSource string

// Sources of ejections.
const (
	EjectedByAttempts EjectionSource = "attempts of this host"
	EjectedByTally    EjectionSource = "attempts of a host that asks for advice"
	EjectedByAdvisor  EjectionSource = "the host that advises"
)

// Ejection describes an endpoint that this host has begun to avoid. It is immutable.
type Ejection struct {
	Endpoint, Service string
	Source            EjectionSource
	Outcome           Outcome // of the last attempt; neutral if an advisor reported the ejection
	For               time.Duration
}

// OnEjected sets a function that is called with each ejection of an endpoint that was not ejected
// before. It is called with the fleet locked, so it must not call the fleet. It must be set before
// any attempt is made.
func (f *Fleet) OnEjected(observe func(Ejection)) { f.onEjected = observe }

// noteEjected reports an ejection if the endpoint was not ejected before; the caller holds mu.
func (f *Fleet) noteEjected(m *member, wasEjected bool, s EjectionSource, o Outcome, until, now clock.Instant) {
	if wasEjected || !m.ejected(now) || f.onEjected == nil {
		return
	}
	f.onEjected(Ejection{Endpoint: m.ID, Service: m.Service, Source: s, Outcome: o, For: until.Sub(now)})
}
