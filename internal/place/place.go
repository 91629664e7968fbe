// Package place picks the endpoint for an attempt. It is pure: it reads an
// immutable set of endpoints and a random number.
//
// # Usage
//
//	index := place.Pick(endpoints, place.Ask{Version: ref, Prefix: hash}, random)
//
// The least loaded endpoint is taken, judged by the host's own count in flight
// and a load report that counts for less the older it is. A
// prompt's prefix has a few homes by rendezvous hashing, so that all
// hosts send it where it is cached without telling each other; a home is passed
// by while it is busy and its load is over the mean.
package place

import (
	"time"

	"quaybarrow/internal/declare"
)

// Endpoint is what a decision knows of an endpoint.
type Endpoint struct {
	ID       string
	Hash     uint64 // of the ID, for rendezvous hashing
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
const trust = 500 * time.Millisecond

// Load estimates the endpoint's requests per slot, for a host that shares it
// with others. What the report says of the others counts for less with age; in
// its place comes what this host's own count, which is exact, says of hosts like
// it.
func (e Endpoint) Load(sharers int) float64 {
	weight := float64(trust) / float64(trust+e.Age)
	reported := float64(max(e.Reported-e.Mine, 0))
	alike := float64(e.InFlight * max(sharers-1, 0))
	others := weight*reported + (1-weight)*alike
	load := (float64(e.InFlight) + others) / float64(max(e.Slots, 1))
	if e.Slow < 1 {
		load += 1 - e.Slow
	}
	return load
}

// Ask is what an attempt needs.
type Ask struct {
	Version declare.Ref // empty for a plain service
	Hall    string      // of the asking host
	Prefix  uint64      // hash of the prompt's prefix; 0 if it has none
	Sharers int         // hosts that send to an endpoint, this one included
	Avoid   []string    // endpoints tried before
}

// Bounds of a choice.
const (
	hallBonus = 0.05 // of load, for the host's own data hall
	homeSlack = 0.02 // load of a home over the mean up to which it is taken
	homeIdle  = 0.5  // load up to which it is taken in any case
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
// number is from [0,1).
func Pick(endpoints []Endpoint, ask Ask, random float64) int {
	count, total := 0, 0.0
	var homes homes
	for i := range endpoints {
		if !ask.Fits(endpoints[i]) {
			continue
		}
		count++
		total += endpoints[i].Load(ask.Sharers)
		homes = homes.with(i, weight(ask.Prefix, endpoints[i].Hash))
	}
	if count == 0 {
		return -1
	}
	if ask.Prefix != 0 {
		bound := max(total/float64(count)+homeSlack, homeIdle)
		if i := homes.within(endpoints, ask.Sharers, bound); i >= 0 {
			return i
		}
	}
	return ask.best(endpoints, int(random*float64(len(endpoints))))
}

// best takes the endpoint with the least score. It looks from a random place on,
// so that of equals none is preferred.
func (a Ask) best(endpoints []Endpoint, start int) int {
	chosen, least := -1, 0.0
	for n := range endpoints {
		i := (start + n) % len(endpoints)
		if !a.Fits(endpoints[i]) {
			continue
		}
		if score := a.score(endpoints[i]); chosen < 0 || score < least {
			chosen, least = i, score
		}
	}
	return chosen
}

// homeCount is how many homes a prefix has.
const homeCount = 3

// homes are the endpoints with the highest weights for a prefix, highest first.
type homes struct {
	index  [homeCount]int
	weight [homeCount]uint64
	count  int
}

func (h homes) with(i int, w uint64) homes {
	for at := range homeCount {
		if at < h.count && w <= h.weight[at] {
			continue
		}
		i, h.index[at] = h.index[at], i
		w, h.weight[at] = h.weight[at], w
		if at >= h.count {
			h.count++
			return h
		}
	}
	return h
}

// within returns the first home whose load is within a bound, or -1.
func (h homes) within(endpoints []Endpoint, sharers int, bound float64) int {
	for _, i := range h.index[:h.count] {
		if endpoints[i].Load(sharers) <= bound {
			return i
		}
	}
	return -1
}

// weight mixes a prefix and an endpoint, as splitmix64 does.
func weight(prefix, endpoint uint64) uint64 {
	x := prefix ^ endpoint
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// score is what the choice minimizes.
func (a Ask) score(e Endpoint) float64 {
	if e.Hall == a.Hall {
		return e.Load(a.Sharers) - hallBonus
	}
	return e.Load(a.Sharers)
}
