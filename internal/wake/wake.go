// Package wake has signals that there is something to do.
//
// # Usage
//
//	signal := wake.NewSignal()
//	signal.Poke() // never waits; several before the work begins are one
//	<-signal
package wake

import "context"

// Signal wakes one who waits for it.
type Signal chan struct{}

// NewSignal returns a signal that is not given.
func NewSignal() Signal { return make(Signal, 1) }

// Notify gives the signal.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Wait waits for the signal; false if the context ends first.
func (s Signal) Wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s:
		return true
	}
}

// Clear takes the signal back, if it is given.
func (s Signal) Clear() {
	select {
	case <-s:
	default:
	}
}
