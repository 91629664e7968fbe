// Package place picks the endpoint for an attempt. It is pure: it reads an
// immutable set of endpoints and two random numbers.
//
// # Usage
//
//	index := place.Pick(endpoints, place.Ask{Version: ref, Prefix: hash}, random)
//
// Two endpoints are drawn and the better is taken, judged by the host's own
// count in flight and a load report that counts for less the older it is. An
// endpoint that probably has the prompt's prefix cached is preferred as long as
// its load is within a bound of the mean.
package place

import (
	"time"

	"quaybarrow/internal/declare"
)

// Endpoint is what a decision knows of an endpoint.
type Endpoint struct {
	ID       string
	Address  string
	Hall     string
	Slots    int           // requests it decodes at once
	InFlight int           // of this host
	Reported int           // running and queued there when the report was made
	Mine     int           // InFlight when the report was made
	Age      time.Duration // of the report
	Ready    bool          // takes new work: not leaving, not ejected
	Slow     float64       // 0 to 1: part of full traffic after it came back
	Versions []declare.Ref // loaded; nil means not known
}

// Serves reports whether the endpoint has a version, as far as is known.
func (e Endpoint) Serves(ref declare.Ref) bool {
	for _, v := range e.Versions {
		if v == ref {
			return true
		}
	}
	return e.Versions == nil
}

// trust is the age at which a report counts half.
const trust = 2 * time.Second

// Load estimates the endpoint's requests per slot. Others' requests are the
// reported ones less this host's own at that time; they count for less with
// age, while this host's own are exact.
func (e Endpoint) Load() float64 {
	others := float64(max(e.Reported-e.Mine, 0))
	weight := float64(trust) / float64(trust+e.Age)
	load := (float64(e.InFlight) + others*weight) / float64(max(e.Slots, 1))
	if e.Slow < 1 {
		load += 1 - e.Slow
	}
	return load
}

// Ask is what an attempt needs.
type Ask struct {
	Version declare.Ref // empty for a plain service
	Hall    string      // of the asking host
	Hinted  string      // endpoint that probably has the prefix; empty if none
	Avoid   []string    // endpoints tried before
}

// Bounds of a choice.
const (
	hallBonus   = 0.05 // of load, for the host's own data hall
	boundFactor = 1.25 // a hinted endpoint's load over the mean
	boundSlack  = 0.25
)

// Fits reports whether an endpoint may take the attempt.
func (a Ask) Fits(e Endpoint) bool {
	if !e.Ready || a.Version != (declare.Ref{}) && !e.Serves(a.Version) {
		return false
	}
	for _, id := range a.Avoid {
		if id == e.ID {
			return false
		}
	}
	return true
}

// Pick returns the index of the chosen endpoint, or -1 if none fits. The random
// numbers are from [0,1).
func Pick(endpoints []Endpoint, ask Ask, first, second float64) int {
	count, hinted := 0, -1
	total := 0.0
	for i := range endpoints {
		if !ask.Fits(endpoints[i]) {
			continue
		}
		count++
		total += endpoints[i].Load()
		if endpoints[i].ID == ask.Hinted {
			hinted = i
		}
	}
	if count == 0 {
		return -1
	}
	if hinted >= 0 && endpoints[hinted].Load() <= total/float64(count)*boundFactor+boundSlack {
		return hinted
	}
	a := nth(endpoints, ask, int(first*float64(count)))
	if count == 1 {
		return a
	}
	skip := int(second * float64(count-1))
	if skip >= int(first*float64(count)) {
		skip++
	}
	b := nth(endpoints, ask, skip)
	if ask.score(endpoints[b]) < ask.score(endpoints[a]) {
		return b
	}
	return a
}

// score is what the choice minimizes.
func (a Ask) score(e Endpoint) float64 {
	if e.Hall == a.Hall {
		return e.Load() - hallBonus
	}
	return e.Load()
}

// nth finds the n-th endpoint that fits, counted from 0.
func nth(endpoints []Endpoint, ask Ask, n int) int {
	for i := range endpoints {
		if !ask.Fits(endpoints[i]) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}
