// Package fleet keeps track of the endpoints of every service: which are listed, which are
// draining, and their load and health. It picks an endpoint for each attempt.
//
// # Usage
//
//	f := fleet.New(fleet.Options{Hall: "ikeja"})
//	f.Reset(endpoints)
//	hold, ok := f.Pick(fleet.Request{Service: "tagger", Key: key})
//	...send the request to hold.Endpoint...
//	hold.Done(fleet.Result{Outcome: fleet.OutcomeGood, Load: load})
//
// The package sends no messages. Load is what this host has in flight at an endpoint, plus the
// load of other hosts that the endpoint's own responses have recently reported. Health is derived
// from live requests alone.
package fleet

import (
	"strconv"
	"time"

	"quaybarrow/internal/clock"
)

// Endpoint is a listed endpoint. It is immutable.
type Endpoint struct {
	ID       string // unique to this start of the endpoint
	Instance string // name of the endpoint, the same in all its starts; empty means the ID
	Born     int64  // Unix time of this start in ms; 0 if not stated
	Service  string
	Address  string // ip:port
	Hall     string
	Version  string        // of its software
	Slots    int           // requests that it runs at the same time
	Draining bool          // it takes no new requests
	Cold     time.Duration // time until it takes its usual load, as stated by its entry
	Spot     bool          // the platform may reclaim it at short notice
}

// WithStart returns the endpoint as one that started at a time, in Unix ms. All knowledge of an
// endpoint (cached prompts, load, health, awaited responses) is stored by ID, so none of it applies
// to a later start, whose process has kept nothing of an earlier one.
func (e Endpoint) WithStart(born int64) Endpoint {
	e.Instance, e.Born = e.name(), born
	e.ID = e.Instance + "@" + strconv.FormatInt(born, 10)
	return e
}

// name returns the instance name.
func (e Endpoint) name() string {
	if e.Instance == "" {
		return e.ID
	}
	return e.Instance
}

// Report is an endpoint's report of its load.
type Report struct {
	Load     Load
	Draining bool
	Models   []string      // that it has loaded; nil if it does not report them
	Asked    clock.Instant // when the report was requested
	InFlight int           // this host's requests there when the report was requested
}

// Status is a host's knowledge of an endpoint, for operators.
type Status struct {
	Endpoint
	Models   []string
	InFlight int           // this host's requests there
	Others   int           // other hosts' requests there, by its last report
	Age      time.Duration // of the last load report; 0 if there was none
	Ready    bool          // it is not draining and not ejected
	// Evacuated reports whether its data hall is evacuated. ColdSince is when the endpoint became
	// cold (zero if it is not cold), and ColdFor is the time until it is warm.
	Evacuated bool
	ColdSince clock.Instant
	ColdFor   time.Duration
	Limit     LimitStatus
	Notices   NoticeStatus
}

// Load is the load that an endpoint reports in a response.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work currently takes on the endpoint's shared machine, relative to the usual
	// time (1); 0 if not reported.
	Pace float64
}

// Fraction returns the fraction of the endpoint's slots in use; 0 if it reports no slots. Waiting requests
// are left out: they come in bursts, and do not slow the running ones.
func (l Load) Fraction() float64 {
	if l.Slots <= 0 {
		return 0
	}
	return float64(l.Running) / float64(l.Slots)
}

// full reports whether an endpoint has no free slot.
func (l Load) full() bool { return l.Slots > 0 && l.Running >= l.Slots }

// Outcome is the result of an attempt, for the health of the endpoint.
type Outcome int

// Outcomes of an attempt.
const (
	OutcomeNeutral Outcome = iota // the caller disconnected, or this host caused the failure
	OutcomeGood
	OutcomeFailed  // it responded with a failure or an invalid response, or not at all
	OutcomeRefused // it refused the request before any work
	OutcomeLost    // neither this host nor another could reach it
	// OutcomeUnreached and OutcomeWayLost tell nothing about the endpoint: this host could not reach
	// it though others may, or lost the connection because of a link or another host.
	OutcomeUnreached
	OutcomeWayLost
	// OutcomeNotSent means that nothing was sent: the hold is given back.
	OutcomeNotSent
)

// String returns the outcome in a few words, for log lines.
func (o Outcome) String() string {
	switch o {
	case OutcomeGood:
		return "good"
	case OutcomeFailed:
		return "failed"
	case OutcomeRefused:
		return "refused"
	case OutcomeLost:
		return "not reached"
	case OutcomeUnreached:
		return "not reached by this host"
	case OutcomeWayLost:
		return "way lost"
	case OutcomeNotSent:
		return "not sent"
	default:
		return "neutral"
	}
}

// Result is the result of an attempt at an endpoint.
type Result struct {
	Outcome Outcome
	Load    Load // zero Slots if not reported
}

// Parameters of health. An endpoint that fails occasionally stays in use: on some services a
// seventh of the responses are failures of the request itself.
const (
	healthDecay         = 0.8             // weight of the past at each result; about the last five results count
	ejectThreshold      = 0.62            // failure rate that ejects; three failures in a row from a rate of 0 reach 0.49, five 0.67
	firstEjection       = 2 * time.Second // first ejection; doubles with each further one in a row
	defaultMaxEjection  = 8 * time.Second
	unreachableEjection = 1 * time.Second // an endpoint that can't be reached is ejected at once
	fullPause           = 150 * time.Millisecond
	// unreachedPause is how long an endpoint is avoided that only this host can't reach.
	unreachedPause = 500 * time.Millisecond
)

// health is derived from the outcomes of attempts. It is immutable.
type health struct {
	failureRate  float64       // smoothed part of failures
	ejectedUntil clock.Instant // not used before then, unless no other endpoint is available
	fullUntil    clock.Instant // assumed to be full until then, since it has just refused a request
	lastEjection time.Duration // duration of the last ejection
}

// with returns the health after an attempt; maxEjection bounds an ejection.
func (h health) with(o Outcome, now clock.Instant, maxEjection time.Duration) health {
	switch o {
	case OutcomeGood:
		h.failureRate *= healthDecay
		if now.After(h.ejectedUntil) {
			h.lastEjection = 0
		}
	case OutcomeFailed:
		h.failureRate = h.failureRate*healthDecay + (1 - healthDecay)
		// An endpoint that fails its first attempt after an ejection has not recovered.
		if h.failureRate >= ejectThreshold || (h.lastEjection > 0 && now.After(h.ejectedUntil)) {
			h = h.ejected(now, firstEjection, maxEjection)
		}
	case OutcomeLost:
		h = h.ejected(now, unreachableEjection, maxEjection)
	case OutcomeRefused:
		h.fullUntil = later(h.fullUntil, now.Add(fullPause))
	case OutcomeNeutral, OutcomeUnreached, OutcomeWayLost, OutcomeNotSent:
	}
	return h
}

func (h health) ejected(now clock.Instant, shortest, longest time.Duration) health {
	h.lastEjection = min(max(h.lastEjection*2, shortest), longest)
	h.ejectedUntil = later(h.ejectedUntil, now.Add(h.lastEjection))
	h.failureRate /= 2
	return h
}

func later(a, b clock.Instant) clock.Instant {
	if a.After(b) {
		return a
	}
	return b
}
