// Package usage counts, over all hosts, the requests of each workspace that started in each window
// of the time of day, and decides when a window is reported.
//
// # Usage
//
//	c := usage.NewCounter(incarnation)
//	c.CountRequest("weavers") // on each host, as requests start
//	counted := c.Snapshot(now, window, since)
//
//	l := usage.NewLedger(window) // on the host that reports
//	l.SetHostUsage("front-1", counted, queriedAt)
//	for _, r := range l.Due(now) { ... store r, then send it ... }
//
// The wall clocks of hosts differ, and jump. So a host records the start of requests by its own
// monotonic clock, and the host that queries it supplies the current time of day, which is the
// median of the wall clocks of all hosts. The last counts received from a host that has failed
// since are still included. Nothing here sends messages or reads a wall clock.
package usage

import (
	"maps"
	"time"
)

// Window is the number of a window: window n starts n window lengths after the Unix epoch.
type Window int64

// WindowOf returns the window that contains a time of day.
func WindowOf(at time.Time, length time.Duration) Window {
	return Window(at.UnixMilli() / length.Milliseconds())
}

// End returns the time of day at which a window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli((int64(w) + 1) * length.Milliseconds())
}

// Counts holds the number of requests by workspace. It must not be modified once it is shared.
type Counts map[string]int64

// plus returns the sum of both counts for each workspace.
func (c Counts) plus(other Counts) Counts {
	sum := Counts{}
	maps.Copy(sum, c)
	for workspace, n := range other {
		sum[workspace] += n
	}
	return sum
}

// larger returns the larger of both counts for each workspace.
func (c Counts) larger(other Counts) Counts {
	larger := Counts{}
	maps.Copy(larger, c)
	for workspace, n := range other {
		larger[workspace] = max(larger[workspace], n)
	}
	return larger
}

// HostUsage holds the counts of one incarnation of a host.
type HostUsage struct {
	Incarnation string // identifies one run of a host's process; unique
	Windows     map[Window]Counts
}

// Report holds a window's counts over all hosts, as sent to the platform and stored.
type Report struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
}
