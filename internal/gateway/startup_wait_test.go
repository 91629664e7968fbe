package gateway

import (
	"testing"
	"time"
)

// startupWaits holds, by number of hosts that start together, the minimum and the maximum time that requests
// wait: callers have at least a second or two, and a refused caller has one try less.
var startupWaits = map[int][2]time.Duration{
	0: {time.Second, 1300 * time.Millisecond}, 91: {time.Second, 1500 * time.Millisecond}, 984: {2 * time.Second, 2500 * time.Millisecond},
}

// TestRequestsWaitForHostsThatStartTogether guards against a fault seen when 984 hosts lost power at the
// same time: requests were refused after 1.2 s, while lists of 10,000 endpoints were still passing through
// a few hosts.
func TestRequestsWaitForHostsThatStartTogether(t *testing.T) {
	for hosts, c := range startupWaits {
		g := New(Options{HostCount: func() int { return hosts }})
		if got := g.startupWait(); got < c[0] || got > c[1] {
			t.Errorf("%d hosts: requests wait %s, not %s to %s", hosts, got, c[0], c[1])
		}
	}
}
