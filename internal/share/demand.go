package share

import (
	"math"
	"time"

	"quaybarrow/internal/clock"
)

const (
	// demandSmoothing is the time constant of the rate of work offered.
	demandSmoothing = 500 * time.Millisecond
	// pressedTime is how long a service counts as pressed after the last sign of it.
	pressedTime = 2 * time.Second
	// pressedOccupancy is the occupancy of an endpoint from which on its service is pressed.
	pressedOccupancy = 0.7
	// maxCountedOccupancy bounds what one response counts in the mean, so that one endpoint with a long
	// queue does not hide that others have room.
	maxCountedOccupancy = 3
	// negligibleRate is the work per second below which a class is forgotten. Some 20 time constants
	// pass before a request that took a second decays to it.
	negligibleRate = 1e-9
	// minReportTime is the least time that a rate since the last report is taken over.
	minReportTime = 20 * time.Millisecond
)

// meter measures a rate of work per second, smoothed exponentially.
type meter struct {
	rate float64 // at the instant at
	at   clock.Instant
}

// add counts work in seconds.
func (m *meter) add(work float64, now clock.Instant) {
	m.rate = m.value(now) + work/demandSmoothing.Seconds()
	m.at = now
}

// value returns the rate at an instant.
func (m *meter) value(now clock.Instant) float64 {
	return m.rate * math.Exp(-float64(max(now.Sub(m.at), 0))/float64(demandSmoothing))
}

// demand is what one host knows of the load of a service.
type demand struct {
	meters       map[Class]*meter
	pressedUntil clock.Instant

	// Counters since the last report.
	since      clock.Instant
	admitted   float64 // seconds of work
	arrivals   int     // responses and rejections of endpoints
	rejections int
	occupancy  float64 // sum
	reported   int     // number of occupancies in the sum
}

func newDemand() *demand { return &demand{meters: map[Class]*meter{}} }

// offer counts a request with the seconds of work that it is expected to cost.
func (d *demand) offer(c Class, work float64, now clock.Instant) {
	m := d.meters[c]
	if m == nil {
		m = &meter{}
		d.meters[c] = m
	}
	m.add(work, now)
}

// respond counts the response of an endpoint, and reports whether it shows that the service is pressed.
func (d *demand) respond(r Response, now clock.Instant) bool {
	d.arrivals++
	if r.Rejected {
		d.rejections++
	}
	if r.Occupancy >= 0 && !math.IsInf(r.Occupancy, 1) {
		d.occupancy += min(r.Occupancy, maxCountedOccupancy)
		d.reported++
	}
	if !r.Rejected && !(r.Occupancy >= pressedOccupancy) {
		return false
	}
	d.pressUntil(now.Add(pressedTime))
	return true
}

// pressUntil makes the service pressed until an instant at least.
func (d *demand) pressUntil(i clock.Instant) {
	if i.After(d.pressedUntil) {
		d.pressedUntil = i
	}
}

func (d *demand) pressed(now clock.Instant) bool { return now.Before(d.pressedUntil) }

// restart begins the counters anew.
func (d *demand) restart(now clock.Instant) {
	d.since = now
	d.admitted, d.arrivals, d.rejections, d.occupancy, d.reported = 0, 0, 0, 0, 0
}

// take returns what is reported and begins the counters anew.
func (d *demand) take(now clock.Instant) Report {
	r := Report{
		Demand:     map[Class]float64{},
		Admitted:   d.admitted / max(now.Sub(d.since), minReportTime).Seconds(),
		Arrivals:   d.arrivals,
		Rejections: d.rejections,
		Occupancy:  -1,
		Responses:  d.reported,
		PressedFor: max(d.pressedUntil.Sub(now), 0),
	}
	if d.reported > 0 {
		r.Occupancy = d.occupancy / float64(d.reported)
	}
	for c, m := range d.meters {
		if v := m.value(now); v > negligibleRate {
			r.Demand[c] = v
		} else {
			delete(d.meters, c)
		}
	}
	d.restart(now)
	return r.bounded()
}
