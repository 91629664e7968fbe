package upgrade_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/codec"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/store"
	"quaybarrow/internal/upgrade"
	"quaybarrow/platform"
)

// setEndpoints gives the service four endpoints of each of the versions, and no others.
func (h *hosts) setEndpoints(versions ...string) {
	var list []fleet.Endpoint
	for _, v := range versions {
		for i := range 4 {
			list = append(list, fleet.Endpoint{ID: fmt.Sprint(v, "-", i), Service: "s", Version: v})
		}
	}
	h.fleet.Reset(list, false)
	h.setVersions(versions...)
}

// ordersRead tells the hosts that there have been no other orders.
func (h *hosts) ordersRead() {
	for _, t := range h.trackers {
		t.OrdersRead()
	}
}

// restartAll restarts all hosts, which learn of the endpoints and of an order again.
func (h *hosts) restartAll(target string, revision int64, versions ...string) {
	for i := range h.trackers {
		h.restart(i)
	}
	h.setVersions(versions...)
	h.orderOf(target, revision)
	h.ordersRead()
}

// refusing counts the hosts on which some key may run on none of the versions.
func (h *hosts) refusing(versions ...string) int {
	n := 0
	for _, t := range h.trackers {
		if refuses(t, versions) {
			n++
		}
	}
	return n
}

// refuses reports whether some key may run on none of the versions.
func refuses(t *upgrade.Tracker, versions []string) bool {
	for i := range uint64(sampledKeys) {
		allowed := t.Allowed("s", i*0x9e3779b97f4a7c15)
		served := allowed == nil
		for _, v := range versions {
			served = served || allowed(v)
		}
		if !served {
			return true
		}
	}
	return false
}

// expectServed checks for a time that each key may run on one of the versions.
func (h *hosts) expectServed(d time.Duration, versions ...string) {
	for range int(d / (250 * time.Millisecond)) {
		ExpectWithOffset(1, h.refusing(versions...)).To(BeZero())
		time.Sleep(250 * time.Millisecond)
	}
}

const completedV1 = `{"state":"completed","target_version":"v1"}`

// Each guards against a service whose requests are refused for good because an order names the version that
// it has.
var _ = Describe("an order for the version in use", func() {
	orders := map[string]struct {
		before func(h *hosts)
		after  []string // versions with endpoints
	}{
		"is done at once: the first order": {func(h *hosts) {}, []string{"v1"}},
		"is done at once: another version was there when hosts started": {func(h *hosts) {
			h.setEndpoints("v0", "v1")
			h.setEndpoints("v1")
		}, []string{"v1"}},
		"is done at once: twice": {func(h *hosts) {
			h.orderOf("v1", 5)
			time.Sleep(5 * time.Second)
		}, []string{"v1"}},
		"is done at once: a bad version was rolled back": {func(h *hosts) {
			h.setEndpoints("v1", "v2")
			h.orderOf("v2", 5)
			h.serve(20*time.Second, traffic{badEvery: 2})
		}, []string{"v1", "v2"}},
		"is done at once: another order is in progress": {func(h *hosts) {
			h.setEndpoints("v1", "v2")
			h.orderOf("v2", 5)
			h.serve(14*time.Second, traffic{})
		}, []string{"v1", "v2"}},
		"is done at once: it was completed": {func(h *hosts) {
			h.setEndpoints("v1", "v0")
			h.orderOf("v0", 3)
			h.serve(20*time.Second, traffic{badEvery: 2})
			h.orderOf("v1", 5)
			time.Sleep(5 * time.Second)
		}, []string{"v1"}},
	}
	for name, c := range orders {
		It(name, func() {
			suite.Paused(func() {
				h := newHosts(3)
				defer h.stop()
				h.setEndpoints("v1")
				h.ordersRead()
				c.before(h)
				h.setEndpoints(c.after...)
				h.orderOf("v1", 7)
				h.expectServed(2*time.Second, "v1")
				Expect(h.status()).To(MatchJSON(completedV1))
				h.expectServed(30*time.Second, "v1")
				h.restartAll("v1", 7, c.after...)
				time.Sleep(time.Second) // they read the progress of the upgrades
				h.expectServed(10*time.Second, "v1")
				Expect(h.status()).To(MatchJSON(completedV1))
			})
		})
	}

	It("is done also where hosts of before left the version in use unknown", func() {
		suite.Paused(func() {
			h := newHosts(3)
			defer h.stop()
			h.setEndpoints("v1")
			row, err := codec.Encode(upgrade.Progress{Revision: 7, Target: "v1", EndMs: 24000, Outcome: upgrade.OutcomeRunning})
			Expect(err).NotTo(HaveOccurred())
			client := platform.NewStore(storeAddress, h.network.Dial)
			Expect(client.Commit(context.Background(), store.Transaction{Writes: []store.Write{store.Put(upgrade.Table, "s", row)}})).To(Succeed())
			h.orderOf("v1", 7)
			time.Sleep(time.Second) // they read the progress of the upgrades
			h.expectServed(3*time.Second, "v1")
			Expect(h.status()).To(MatchJSON(completedV1))
		})
	})
})

// Each guards against requests that are refused though sound endpoints are idle.
var _ = Describe("a service with sound endpoints", func() {
	It("serves all keys while an order names a version without endpoints", func() {
		suite.Paused(func() {
			h := newHosts(3)
			defer h.stop()
			h.setEndpoints("v1")
			h.ordersRead()
			h.orderOf("v2", 7)
			h.expectServed(30*time.Second, "v1")
			Expect(h.hostsAllowing("v2")).To(BeZero())
		})
	})

	It("serves after an order's time though the version that it had is gone", func() {
		suite.Paused(func() {
			h := newHosts(3)
			defer h.stop()
			h.setEndpoints("v1")
			h.ordersRead()
			h.setEndpoints("v1", "v2")
			h.order(7)
			time.Sleep(5 * time.Second)
			h.setEndpoints("v2")
			time.Sleep(20 * time.Second)
			h.expectServed(5*time.Second, "v2")
		})
	})

	It("serves with other versions once the one in use is gone for long", func() {
		suite.Paused(func() {
			h := newHosts(3)
			defer h.stop()
			h.setEndpoints("v1")
			h.ordersRead()
			h.orderOf("v1", 7)
			time.Sleep(2 * time.Second)
			h.setEndpoints("v3")
			time.Sleep(2 * time.Second)
			Expect(h.hostsAllowing("v3")).To(BeZero(), "it may come back")
			time.Sleep(10 * time.Second)
			h.expectServed(5*time.Second, "v3")
		})
	})

	It("serves without an order though the version that it had is gone and several others are there", func() {
		suite.Paused(func() {
			h := newHosts(1)
			defer h.stop()
			h.setEndpoints("v1")
			h.setEndpoints("v2", "v3")
			h.expectServed(time.Second, "v2", "v3")
		})
	})
})

// modelSteps is the number of operations of a play of TestNoOrderStopsASoundService.
const modelSteps = 6

// TestNoOrderStopsASoundService guards against orders after which a service with sound endpoints refuses
// requests for good, whatever versions have endpoints and whichever hosts restart.
func TestNoOrderStopsASoundService(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			RegisterTestingT(t)
			random := rand.New(rand.NewPCG(seed, 0))
			pick := func() string { return []string{"v1", "v2", "v3"}[random.IntN(3)] }
			h := newHosts(3)
			defer h.stop()
			versions, target, steps := []string{"v1"}, "", ""
			h.setEndpoints(versions...)
			h.ordersRead()
			for step := range modelSteps {
				switch random.IntN(4) {
				case 0, 1:
					target = pick()
					h.orderOf(target, int64(step+1))
					steps += " order " + target
				case 2:
					versions = []string{pick()}
					if second := pick(); second != versions[0] {
						versions = append(versions, second)
					}
					h.setEndpoints(versions...)
					steps += fmt.Sprint(" endpoints ", versions)
				default:
					i := random.IntN(len(h.trackers))
					h.restart(i)
					h.setVersions(versions...)
					if target != "" {
						h.orderOf(target, h.lastRevision)
					}
					h.trackers[i].OrdersRead()
					steps += fmt.Sprint(" restart ", i)
				}
				time.Sleep(time.Duration(random.IntN(30000)) * time.Millisecond)
			}
			time.Sleep(40 * time.Second) // all orders' time is over
			Expect(h.refusing(versions...)).To(BeZero(), "seed %d, endpoints of %v, steps:%s", seed, versions, steps)
		})
	}
}
