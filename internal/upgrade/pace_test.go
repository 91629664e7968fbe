package upgrade_test

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/upgrade"
	"quaybarrow/platform"
	"quaybarrow/platform/standin"

	"net/http"
)

// loadCases hold the old version's gaps without load and with many requests, and the gap of a new
// version's endpoints with few requests.
var loadCases = map[string]struct {
	idleGap, fullGap, targetGap time.Duration
	bad                         bool
}{
	"slow, though not compared with loaded endpoints": {10 * time.Millisecond, 22 * time.Millisecond, 25 * time.Millisecond, true},
	"as fast as idle endpoints":                       {10 * time.Millisecond, 22 * time.Millisecond, 11 * time.Millisecond, false},
	"somewhat slower than idle endpoints":             {10 * time.Millisecond, 22 * time.Millisecond, 17 * time.Millisecond, false},
	"as fast, where load does not slow endpoints":     {10 * time.Millisecond, 10 * time.Millisecond, 11 * time.Millisecond, false},
	"slow, where load does not slow endpoints":        {10 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, true},
}

// onTracker runs body with the tracker of a single host, under the paused clock.
func onTracker(body func(t *upgrade.Tracker)) {
	suite.Paused(func() {
		network, store := memnet.New(), standin.NewStore()
		server := &http.Server{Handler: store}
		go func() { _ = server.Serve(network.Listen(storeAddress)) }()
		client := platform.NewStore(storeAddress, network.Dial)
		t := upgrade.NewTracker(upgrade.Options{
			Host: "only", Tables: client, Watch: client, Fleet: fleet.New(fleet.Options{}), Logger: log.New(io.Discard),
			Status: platform.UpgradeStatusWrite, Hosts: func() int { return 1 },
		})
		ctx, cancel := context.WithCancel(context.Background())
		go t.Run(ctx)
		body(t)
		cancel()
		_ = server.Close()
		time.Sleep(time.Minute)
	})
}

var _ = Describe("a version whose endpoints have few requests while the others have many", func() {
	for name, l := range loadCases {
		It("is compared at its own load: "+name, func() {
			onTracker(func(t *upgrade.Tracker) {
				note := func(version, endpoint string, requests int, gap time.Duration) {
					t.Record(upgrade.Report{Service: "s", Version: version, Endpoint: endpoint, Route: "r",
						Finding: upgrade.Paced{Pace: upgrade.ShortestGap(gap), Requests: requests}})
				}
				for range 40 {
					note("v1", "old", 2, l.idleGap)
				}
				t.Order(upgrade.Order{Service: "s", Target: "v2", Within: 20 * time.Second, Revision: 3})
				time.Sleep(time.Second)
				for i := range 40 {
					note("v1", "old", 100, l.fullGap)
					note("v2", []string{"a", "b"}[i%2], 3, l.targetGap)
				}
				time.Sleep(10 * time.Second)
				Expect(t.Allowed("s", 0)("v2")).To(Equal(!l.bad))
			})
		})
	}
})

var _ = Describe("a version with a higher fraction of a larger model's streams than the others", func() {
	cases := map[string]struct {
		small, large time.Duration // the target's gaps with each model
		bad          bool
	}{
		"as fast with each model":         {11 * time.Millisecond, 105 * time.Millisecond, false},
		"slow with the larger model":      {11 * time.Millisecond, 290 * time.Millisecond, true},
		"slow with the smaller model too": {30 * time.Millisecond, 290 * time.Millisecond, true},
	}
	for name, c := range cases {
		It("is compared by model: "+name, func() {
			onTracker(func(t *upgrade.Tracker) {
				note := func(version, endpoint, model string, gap time.Duration) {
					t.Record(upgrade.Report{Service: "s", Version: version, Endpoint: endpoint, Route: "r", Model: model,
						Finding: upgrade.Paced{Pace: upgrade.ShortestGap(gap), Requests: 3}})
				}
				usual := func() {
					note("v1", "old", "large", 100*time.Millisecond)
					note("v1", "old", "small", 10*time.Millisecond)
				}
				for range 40 {
					usual()
				}
				t.Order(upgrade.Order{Service: "s", Target: "v2", Within: 20 * time.Second, Revision: 3})
				time.Sleep(time.Second)
				for i := range 40 {
					usual()
					endpoint := []string{"a", "b", "c"}[i%3]
					note("v2", endpoint, "large", c.large)
					if i%8 == 0 {
						note("v2", endpoint, "small", c.small)
					}
				}
				time.Sleep(10 * time.Second)
				Expect(t.Allowed("s", 0)("v2")).To(Equal(!c.bad))
			})
		})
	}
})
