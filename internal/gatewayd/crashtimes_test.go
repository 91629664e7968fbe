package gatewayd_test

import "time"

// crashTimes returns the times at which the crashing request reached endpoints, and the times at which
// endpoints that had received it crashed.
func (r *crashRig) crashTimes() (sends, crashes []time.Time) {
	for _, m := range r.machines {
		for _, e := range m.Starts() {
			under := false
			for _, s := range e.Requests() {
				if s.Body == crashBody {
					sends = append(sends, s.At)
					under = true
				}
			}
			if at := e.CrashedAt(); under && !at.IsZero() {
				crashes = append(crashes, at)
			}
		}
	}
	return sends, crashes
}
