package gateway

import (
	"testing"
	"time"
)

// startupWaits are how long requests wait at least, and at most, at a host that starts together with so many:
// callers have a second or two at least, and one that is refused has one try less.
var startupWaits = map[int][2]time.Duration{
	0: {time.Second, 1300 * time.Millisecond}, 91: {time.Second, 1500 * time.Millisecond}, 984: {2 * time.Second, 2500 * time.Millisecond},
}

// TestRequestsWaitForHostsThatStartTogether: 984 hosts lost power at the same moment. Requests that came
// to them were refused after 1.2 s, while lists of 10,000 endpoints were on their way through a few hosts.
func TestRequestsWaitForHostsThatStartTogether(t *testing.T) {
	for hosts, c := range startupWaits {
		g := New(Options{Hosts: func() int { return hosts }})
		if got := g.startupWait(); got < c[0] || got > c[1] {
			t.Errorf("%d hosts: requests wait %s, not %s to %s", hosts, got, c[0], c[1])
		}
	}
}
