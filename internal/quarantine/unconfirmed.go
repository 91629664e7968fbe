package quarantine

import (
	"context"
	"slices"
	"time"
)

const (
	// unconfirmedTTL is how long a broken connection waits for the endpoint list to confirm that its
	// endpoint has crashed: three heartbeats and two network hops.
	unconfirmedTTL = 6 * time.Second
	// crashSkew is the most by which two hosts' times of one crash differ: all connections break within
	// milliseconds, and reports carry their age, so it is the time of a message.
	crashSkew = 250 * time.Millisecond
)

// BrokenAttempt is an attempt to run a request that ended because its connection broke.
type BrokenAttempt struct {
	Endpoint string // the endpoint instance, that is one start of the endpoint
	Address  string
	Service  string
	Request  Request
	// Begun means that its answer had begun so long before that the endpoint crashed under none of its
	// parts.
	Begun bool
	Run   Run

	reportedAt time.Duration // when the attempt was reported; used while it is not known whether the endpoint crashed
}

// crash returns the crash of the attempt's endpoint, on the assumption that it crashed.
func (a BrokenAttempt) crash(at time.Duration) Crash {
	c := Crash{Endpoint: a.Endpoint, Service: a.Service, At: at, Runs: map[Fingerprint]Run{a.Request.Fingerprint: a.Run}}
	if !a.Begun {
		c.Parts = partRuns(a.Request, a.Request.Parts)
	}
	return c
}

// EndpointCrashed finds out whether an endpoint has crashed whose connection has ended where a response
// may end too. It waits briefly for the detector's result.
func (t *Tracker) EndpointCrashed(ctx context.Context, endpoint, address string) bool {
	return t.detector.Crashed(ctx, endpoint, address)
}

// ConnectionBroke finds out whether the endpoint has crashed and, if so, records the crash. It waits
// briefly for the detector's result, and returns false also if that is not known yet. A host whose
// links are in doubt can't prove a crash; then another host's proof counts.
func (t *Tracker) ConnectionBroke(ctx context.Context, a BrokenAttempt) bool {
	a.reportedAt = t.clock.Now()
	crashed := t.detector.Crashed(ctx, a.Endpoint, a.Address)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !crashed && !t.knownCrashed(a) {
		t.unconfirmed[a.Endpoint] = append(t.unconfirmed[a.Endpoint], a)
		return false
	}
	a.Run.Copies = t.countOngoing(a.Request.Fingerprint)
	t.recordCrash(a.crash(a.reportedAt))
	return true
}

// EndpointGone handles the removal of an endpoint instance from the list though it did not announce
// that it leaves. If nothing listens at its address either, the connections that broke
// there a moment ago did so because it crashed. An endpoint that leaves without notice continues to
// serve for a while.
func (t *Tracker) EndpointGone(ctx context.Context, endpoint string) {
	address, broke := t.unconfirmedAt(endpoint)
	if broke && t.detector.refusesConnections(ctx, address) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.confirm(func(a BrokenAttempt) bool { return a.Endpoint == endpoint })
	}
}

// unconfirmedAt returns the address of an endpoint at which connections broke a moment ago; false if none
// did.
func (t *Tracker) unconfirmedAt(endpoint string) (address string, broke bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	attempts := t.unconfirmed[endpoint]
	if len(attempts) == 0 {
		return "", false
	}
	return attempts[0].Address, true
}

// EndpointListed handles the listing of an endpoint instance at an address: any other instance at
// that address has ended, and if connections to it broke a moment ago, it crashed.
func (t *Tracker) EndpointListed(endpoint, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(func(a BrokenAttempt) bool { return a.Address == address && a.Endpoint != endpoint })
}

// confirm records the crashes of endpoints at which connections broke a moment ago; the caller holds mu.
func (t *Tracker) confirm(crashed func(a BrokenAttempt) bool) {
	for endpoint, attempts := range t.unconfirmed {
		for _, a := range attempts {
			if crashed(a) && t.clock.Now()-a.reportedAt <= unconfirmedTTL {
				t.recordCrash(a.crash(a.reportedAt))
			}
		}
		rest := slices.DeleteFunc(attempts, crashed)
		if len(rest) == 0 {
			delete(t.unconfirmed, endpoint)
		} else {
			t.unconfirmed[endpoint] = rest
		}
	}
}

// knownCrashed reports whether a host has proved that the endpoint crashed when the attempt broke; the
// caller holds mu.
func (t *Tracker) knownCrashed(a BrokenAttempt) bool {
	for _, r := range t.rows {
		if r.proves(a) {
			return true
		}
	}
	return false
}

// proves reports whether an endpoint crashed, as the host saw, when an attempt there broke.
func (r record) proves(a BrokenAttempt) bool {
	c, ok := r.crashes[a.Endpoint]
	return ok && (a.reportedAt-c.At).Abs() <= crashSkew
}
