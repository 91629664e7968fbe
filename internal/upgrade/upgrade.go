// Package upgrade moves a service's traffic to another version of its endpoints,
// or back if the version is bad.
//
// # Usage
//
//	tracker := upgrade.NewTracker(options)
//	go tracker.Run(ctx)
//	allowed := tracker.Allowed("tagger", key) // versions that a request may run on
//	tracker.Note(upgrade.Report{Service: "tagger", Version: "v2", ...})
//
// An order names the target version and the time to be done in. A row in the
// store says when it was begun, so that all hosts give the target the same share
// of the keys at the same time, without messages. Each host counts answers of
// both versions; a host whose count turns bad stops using the target at once and
// publishes its count. Whoever finds the sum bad writes the roll-back, whoever
// finds the time come the completion. Both write under the condition that the
// row is still running, so one of them wins and all others follow: that
// condition does what a lease would, and nobody has to hold one.
package upgrade

import "time"

// Order asks for a service to be moved to a version.
type Order struct {
	Service  string
	Target   string
	Within   time.Duration
	Revision int64 // of the order's row; a new order has a higher one
}

// Outcome is how far an upgrade is.
type Outcome string

// Outcomes.
const (
	OutcomeRunning    Outcome = "running"
	OutcomeCompleted  Outcome = "completed"
	OutcomeRolledBack Outcome = "rolled-back"
)

// Progress is the shared row of an upgrade.
type Progress struct {
	Revision int64   `json:"revision"` // of the order
	Target   string  `json:"target"`
	StartMs  int64   `json:"start_ms"` // by the store's clock
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason,omitempty"`
}

// Stages of an upgrade, as parts of its time. A session that is under way keeps
// its version in the first half, and hosts do not know which sessions are under
// way elsewhere, so nothing moves before. In the second half the share rises in
// steps that leave evidence of a bad version each: together they send it far
// less than it may get. The rest is for requests to finish on old endpoints,
// which stop at completion.
const (
	trialAt      = 0.50
	trialShare   = 0.10 // of the keys
	rampAt       = 0.60
	rampShare    = 0.30
	secondAt     = 0.68
	secondShare  = 0.60
	allAt        = 0.74
	completionAt = 0.92
)

// Share is the part of the keys that goes to the target version.
func Share(elapsed, within time.Duration) float64 {
	part := float64(elapsed) / float64(within)
	switch {
	case within <= 0 || part < trialAt:
		return 0
	case part < rampAt:
		return trialShare
	case part < secondAt:
		return rampShare
	case part < allAt:
		return secondShare
	default:
		return 1
	}
}

// Due reports whether an upgrade without complaint may be completed.
func Due(elapsed, within time.Duration) bool {
	return float64(elapsed) >= completionAt*float64(within)
}

// Count is how answers of a version went.
type Count struct {
	Good int `json:"good"`
	Bad  int `json:"bad"`
}

func (c Count) plus(o Count) Count { return Count{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// rate is the part of bad answers; 0 without any.
func (c Count) rate() float64 {
	if c.Good+c.Bad == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Good+c.Bad)
}

// Pair counts answers of the target and of the other versions.
type Pair struct {
	Target Count `json:"target"`
	Other  Count `json:"other"`
}

func (p Pair) plus(o Pair) Pair {
	return Pair{Target: p.Target.plus(o.Target), Other: p.Other.plus(o.Other)}
}

// Evidence is what answers told, by route.
type Evidence struct {
	Revision  int64           `json:"revision"` // of the order
	Routes    map[string]Pair `json:"routes"`
	Endpoints []string        `json:"endpoints"` // of the target that gave bad answers
}

// Bounds of the judgement.
const (
	badLeast      = 4    // bad answers before a version is called bad
	badEndpoints  = 2    // on as many endpoints: one that fails alone is no bad version
	badRate       = 0.12 // part of bad answers above what the others show
	badRateFactor = 2.0  // and this many times as many
)

// Judge reports whether the evidence of all hosts shows a bad version, and on
// which route; "" is all routes together. Hosts that have seen nothing bad
// publish nothing: each of these silent ones is taken to have had as many answers
// as the hosts that tell have had on average, all good ones of the target, or a
// few hosts' bad luck would look like everyone's.
func Judge(own Evidence, others []Evidence, silent int) (route string, bad bool) {
	told := append([]Evidence{own}, others...)
	sums, total, endpoints := map[string]Pair{}, Pair{}, map[string]bool{}
	for _, e := range told {
		for name, p := range e.Routes {
			sums[name] = sums[name].plus(p)
		}
		for _, id := range e.Endpoints {
			endpoints[id] = true
		}
	}
	if len(endpoints) < badEndpoints {
		return "", false
	}
	for name, p := range sums {
		sums[name] = p.withSilent(silent, len(told))
		total = total.plus(sums[name])
	}
	if total.bad() {
		return "", true
	}
	for name, p := range sums {
		if p.bad() {
			return name, true
		}
	}
	return "", false
}

// withSilent adds what hosts that tell nothing are taken to have seen, if some
// hosts together have told p.
func (p Pair) withSilent(silent, tellers int) Pair {
	target, good, bad := p.Target.Good+p.Target.Bad, p.Other.Good, p.Other.Bad
	return p.plus(Pair{
		Target: Count{Good: silent * target / tellers},
		Other:  Count{Good: silent * good / tellers, Bad: silent * bad / tellers},
	})
}

// bad reports whether the target does clearly worse than the others.
func (p Pair) bad() bool {
	return p.Target.Bad >= badLeast && p.Target.rate() > badRate+badRateFactor*p.Other.rate()
}
