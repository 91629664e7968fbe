// Package usage counts the requests of each workspace that began to run in each window of
// the time of day, over all hosts, and decides when a window is reported.
//
// # Usage
//
//	c := usage.NewCounter(lifetime)
//	c.Began("weavers") // on each host, as requests begin
//	account := c.Account(now, window, since)
//
//	l := usage.NewLedger(window) // on the host that reports
//	l.Take("front-1", account, asked)
//	for _, r := range l.Due(now) { ... keep r, then send it ... }
//
// Hosts' times of day differ, and jump. So a host notes when requests began by its own running
// clock, and is told what time it is by the one that asks, which goes by the median of what all
// hosts take the time of day to be. The account of a host that has died since counts on as it
// last was. Nothing here sends messages or reads a clock.
package usage

import (
	"maps"
	"time"
)

// Window is the number of a window: it starts so many times its length after the start of
// 1970.
type Window int64

// WindowOf is the window that a time of day lies in.
func WindowOf(at time.Time, length time.Duration) Window {
	return Window(at.UnixMilli() / length.Milliseconds())
}

// End is the time of day at which a window ends.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli((int64(w) + 1) * length.Milliseconds())
}

// Counts are requests by workspace; not to be changed once it is passed on.
type Counts map[string]int64

// plus returns the sum.
func (c Counts) plus(other Counts) Counts {
	sum := Counts{}
	maps.Copy(sum, c)
	for workspace, n := range other {
		sum[workspace] += n
	}
	return sum
}

// larger returns the larger count of each workspace.
func (c Counts) larger(other Counts) Counts {
	larger := Counts{}
	maps.Copy(larger, c)
	for workspace, n := range other {
		larger[workspace] = max(larger[workspace], n)
	}
	return larger
}

// HostUsage is what one life of a host has counted.
type HostUsage struct {
	Incarnation string // of the host, which no other life of any host has
	Windows  map[Window]Counts
}

// Report is a window's counts over all hosts, as they are sent and kept.
type Report struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
}
