package upgrade

import (
	"time"

	"quaybarrow/internal/clock"
)

// serviceVersions is what a host knows of the versions of a service's endpoints.
type serviceVersions struct {
	counts  map[string]int           // endpoints that take requests, by version
	goneAt  map[string]clock.Instant // when the last endpoint of a version went
	firstAt clock.Instant            // when the first counts came
	initial string                   // its only version, or the most common one when it was first seen
	sole    bool                     // no other version has been seen
}

// newServiceVersions returns the versions of a service whose first endpoints are known.
func newServiceVersions(counts map[string]int) *serviceVersions {
	return &serviceVersions{
		counts: counts, goneAt: map[string]clock.Instant{}, firstAt: clock.Now(),
		initial: mostCommon(counts), sole: len(counts) == 1,
	}
}

// update replaces the counts. The initial version is replaced once it has no endpoint, unless an order
// is in progress, whose target would pass for the version in use.
func (v *serviceVersions) update(counts map[string]int, inProgress bool) {
	for version := range v.counts {
		if counts[version] == 0 {
			v.goneAt[version] = clock.Now()
		}
	}
	v.counts = counts
	if len(counts) > 1 {
		v.sole = false
	}
	if counts[v.initial] == 0 && len(counts) > 0 && !inProgress {
		v.initial, v.sole = mostCommon(counts), len(counts) == 1
	}
}

// goneFor returns how long a version has had no endpoint.
func (v *serviceVersions) goneFor(version string) time.Duration {
	if v == nil || v.counts[version] > 0 {
		return 0
	}
	if at, ok := v.goneAt[version]; ok {
		return clock.Since(at)
	}
	return clock.Since(v.firstAt)
}

// mostCommon returns the version with the most endpoints; "" if there are none.
func mostCommon(counts map[string]int) string {
	most := ""
	for v, n := range counts {
		if most == "" || n > counts[most] || (n == counts[most] && v < most) {
			most = v
		}
	}
	return most
}

// SetVersions records how many endpoints a service has of each version. Endpoints of a new version
// get no requests until an order names it.
func (t *Tracker) SetVersions(service string, counts map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, known := t.versions[service]
	if !known {
		if len(counts) > 0 {
			t.versions[service] = newServiceVersions(counts)
		}
		return
	}
	s, ordered := t.services[service]
	v.update(counts, ordered && !s.finished())
}

// initialVersion returns the initial version of a service; "" if none is known.
func (t *Tracker) initialVersion(service string) string {
	if v, ok := t.versions[service]; ok {
		return v.initial
	}
	return ""
}

// OrdersRead tells the tracker that it knows all orders there are. Until an order comes that is not among
// them, a service's requests run on its initial version.
func (t *Tracker) OrdersRead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ordersRead = true
}
