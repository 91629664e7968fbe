// Package fleet knows the endpoints of every service: which are listed, which
// are leaving, how loaded and how well they are, and picks one for an attempt.
//
// # Usage
//
//	f := fleet.New(fleet.Options{Hall: "ikeja"})
//	f.Reset(endpoints)
//	hold, ok := f.Pick(fleet.Ask{Service: "tagger", Key: key})
//	...send the request to hold.Endpoint...
//	hold.Done(fleet.Result{Outcome: fleet.OutcomeGood, Load: load})
//
// Nothing here sends messages. Load is what this host has in flight at an
// endpoint, plus what the endpoint's own answers said of the others' a moment
// ago. Health is judged by live requests alone.
package fleet

import (
	"strconv"
	"time"

	"quaybarrow/internal/clock"
)

// Endpoint is a listed endpoint; an immutable value.
type Endpoint struct {
	ID          string // of this start of the endpoint; no other start has it
	Instance    string // what the endpoint calls itself, in all its starts; empty stands for the ID
	StartMillis int64  // Unix ms of this start; 0 if it does not tell
	Service     string
	Address     string // ip:port
	Hall        string
	Version     string        // of its software
	Slots       int           // requests it runs at once
	Draining    bool          // it takes nothing new
	Cold        time.Duration // until it bears its usual load, by its own word
	Spot        bool          // the platform may take it away at short notice
}

// WithStart returns the endpoint as one that started at a moment, in Unix ms. What is known
// of an endpoint (its memory, load, health, awaited answers) is kept by ID, so nothing of
// it falls on a later start, which knows nothing of before.
func (e Endpoint) WithStart(born int64) Endpoint {
	e.Instance, e.StartMillis = e.name(), born
	e.ID = e.Instance + "@" + strconv.FormatInt(born, 10)
	return e
}

// name is what the endpoint calls itself.
func (e Endpoint) name() string {
	if e.Instance == "" {
		return e.ID
	}
	return e.Instance
}

// Report is an endpoint's own account of its load.
type Report struct {
	Load     Load
	Draining bool
	Models   []string      // that it has loaded; nil if it does not say
	Asked    clock.Instant // when it was asked for
	InFlight int           // this host's requests there at that moment
}

// Status is what a host knows of an endpoint, for operators.
type Status struct {
	Endpoint
	Models   []string
	InFlight int           // this host's requests there
	Others   int           // others' requests there, when it last said
	Age      time.Duration // since it said so; 0 if it never did
	Ready    bool          // it is not ejected
	// Evacuated tells that its data hall is, ColdSince since when it is taken to be cold
	// (zero if it is not), and ColdFor for how much longer.
	Evacuated bool
	ColdSince clock.Instant
	ColdFor   time.Duration
	Limit     LimitStatus
}

// Load is what an endpoint says of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes on its machine now, which it shares with others, 1 as usual; 0
	// if it does not say.
	Pace float64
}

// Outcome is how an attempt went, for judging the endpoint.
type Outcome int

// Outcomes of an attempt.
const (
	OutcomeNeutral Outcome = iota // the caller left, or the fault was ours
	OutcomeGood
	OutcomeFailed  // it answered with a failure, wrongly or not at all
	OutcomeRefused // it refused before any work
	OutcomeLost    // it could not be reached
)

// Result is what an attempt told of an endpoint.
type Result struct {
	Outcome Outcome
	Load    Load // zero Slots if it said nothing
}

// Parameters of health. An endpoint that fails now and then stays in use: on
// some services a seventh of the answers are failures of the request itself.
const (
	healthDecay         = 0.8             // weight of the past at each result, about the last five count
	ejectThreshold      = 0.62            // part of failures that ejects; three in a row from a clean start reach 0.49, five 0.67
	firstEjection       = 2 * time.Second // first ejection; doubles with each one in a row
	defaultMaxEjection  = 8 * time.Second
	unreachableEjection = 1 * time.Second // an endpoint that can't be reached rests at once
	fullPause           = 150 * time.Millisecond
)

// health is what attempts told of an endpoint; an immutable value.
type health struct {
	failureRate  float64       // smoothed part of failures
	ejectedUntil clock.Instant // not before, unless nothing else is there
	fullUntil    clock.Instant // until then it is taken to be, as it has just refused a request
	lastEjection time.Duration // of the last ejection
}

// with returns the health after an attempt; an ejection takes most at most.
func (h health) with(o Outcome, now clock.Instant, maxEjection time.Duration) health {
	switch o {
	case OutcomeGood:
		h.failureRate *= healthDecay
		if now.After(h.ejectedUntil) {
			h.lastEjection = 0
		}
	case OutcomeFailed:
		h.failureRate = h.failureRate*healthDecay + (1 - healthDecay)
		// One that fails at its first attempt after an ejection has not recovered.
		if h.failureRate >= ejectThreshold || (h.lastEjection > 0 && now.After(h.ejectedUntil)) {
			h = h.ejected(now, firstEjection, maxEjection)
		}
	case OutcomeLost:
		h = h.ejected(now, unreachableEjection, maxEjection)
	case OutcomeRefused:
		h.fullUntil = later(h.fullUntil, now.Add(fullPause))
	case OutcomeNeutral:
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
