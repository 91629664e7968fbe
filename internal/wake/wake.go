// Package wake provides a signal that wakes a goroutine when there is work to do.
//
// # Usage
//
//	signal := wake.NewSignal()
//	signal.Notify() // never blocks; several calls before the receive count as one
//	<-signal
package wake

import "context"

// Signal wakes one goroutine that waits for it.
type Signal chan struct{}

// NewSignal returns a signal that is not set.
func NewSignal() Signal { return make(Signal, 1) }

// Notify sets the signal and wakes a waiting goroutine.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// Wait blocks until the signal is set and clears it. It returns false if ctx ends first.
func (s Signal) Wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s:
		return true
	}
}

// Clear clears the signal if it is set.
func (s Signal) Clear() {
	select {
	case <-s:
	default:
	}
}
