package ratelimit_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/platform/standin"
)

// seeds is the number of runs of each scenario; CI runs few.
var seeds = flag.Int("limit.seeds", 1, "runs of each kind of fault and size; with more than one all are run with 300 hosts")

// faults lists the faults of hosts; each time is the interval between two faults.
var faults = map[string]scenario{
	"calm":                       {},
	"hosts killed":               {killEvery: 700 * time.Millisecond},
	"hosts frozen":               {freezeEvery: 700 * time.Millisecond},
	"hosts cut off":              {cutEvery: 700 * time.Millisecond},
	"lenders killed":             {killEvery: 3 * time.Second, targetLenders: true},
	"lenders frozen":             {freezeEvery: 3 * time.Second, targetLenders: true},
	"lenders cut off":            {cutEvery: 3 * time.Second, targetLenders: true},
	"lenders lost one by one":    {killEvery: 2300 * time.Millisecond, freezeEvery: 3100 * time.Millisecond, cutEvery: 3700 * time.Millisecond, targetLenders: true},
	"killed, frozen, cut beside": {killEvery: 1100 * time.Millisecond, freezeEvery: 1300 * time.Millisecond, cutEvery: 1700 * time.Millisecond},
}

// sizes are the numbers of hosts.
var sizes = []int{1, 7, 60, 300}

func TestLimitsOfEndpointsWhileHostsAreLost(t *testing.T) {
	for name, fault := range faults {
		for _, hosts := range sizes {
			if hosts > 100 && *seeds == 1 && name != "calm" && name != "lenders lost one by one" {
				continue
			}
			t.Run(fmt.Sprint(name, ", ", hosts, " hosts"), func(t *testing.T) {
				worst, used := 0.0, map[int]float64{}
				for seed := range uint64(*seeds) {
					for limited, rate := range map[int]float64{1: 2.5, 4: 8, 12: 5} {
						p := fault
						p.hosts, p.limitedEndpoints, p.rate, p.seed, p.duration = hosts, limited, rate, seed, 20*time.Second
						p.requestRate = max(120, float64(hosts))
						if hosts == 1 {
							p.killEvery, p.freezeEvery, p.cutEvery = 0, 0, 0
						}
						most, healthy, share, _ := runScenario(t, p)
						worst = max(worst, float64(most)/(rate*standin.LimitWindow.Seconds()))
						if least, ok := used[limited]; !ok || share < least {
							used[limited] = share
						}
						if allowed := standin.LimitMaxRequests(rate); healthy > allowed {
							t.Errorf("seed %d, %d endpoints with %v a second: %d in %s, %d from hosts without faults, %d allowed", seed, limited, rate, most, standin.LimitWindow, healthy, allowed)
						} else if most > allowed {
							t.Logf("seed %d, %d endpoints with %v a second: %d in %s, %d from hosts without faults, %d allowed", seed, limited, rate, most, standin.LimitWindow, healthy, allowed)
						}
					}
				}
				t.Logf("worst %.2f of the limit in %s; least used, by the endpoints that announce one: %.3v", worst, standin.LimitWindow, used)
			})
		}
	}
}

// runScenario simulates a scenario.
func runScenario(t *testing.T, p scenario) (most, healthy int, used float64, calls int) {
	synctest.Test(t, func(*testing.T) {
		s := newSimulation(p)
		s.run()
		most, healthy, used = s.worstWindow(standin.LimitNoticeTime, standin.LimitWindow)
		calls = s.calls
	})
	return most, healthy, used, calls
}

// TestLimitsLentOrSplit compares lending with a fixed split of each limit among the hosts, where nine
// in ten requests come to one host and all endpoints announce a limit.
func TestLimitsLentOrSplit(t *testing.T) {
	for _, hosts := range []int{7, 60} {
		used := map[strategy]float64{}
		for _, tried := range []strategy{lending, splitting} {
			p := scenario{strategy: tried, hosts: hosts, limitedEndpoints: 12, rate: 5, requestRate: 120, hotShare: 0.9, duration: 20 * time.Second}
			most, _, share, calls := runScenario(t, p)
			t.Logf("%d hosts, strategy %d: worst %d in %s, %.2f of the limits used, %d calls between hosts", hosts, tried, most, standin.LimitWindow, share, calls)
			used[tried] = share
		}
		if used[lending] < 0.8 || used[splitting] > 0.6*used[lending] {
			t.Errorf("%d hosts: %.2f of the limits used by lending, %.2f by splitting", hosts, used[lending], used[splitting])
		}
	}
}

func TestHostThatStartsLearnsOfLimitsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(scenario{hosts: 5})
		time.Sleep(time.Second)
		s.simHosts[0].fleet.MergeLimit(fleet.LimitUpdate{Endpoint: endpointName(0), Rate: 2, Since: clock.Now(), ConfirmedAt: clock.Now()})
		time.Sleep(time.Second)
		s.killOne(s.simHosts[1])
		time.Sleep(learnTime)
		for _, h := range s.simHosts {
			if n := h.fleet.LimitedCount(); n != 1 {
				t.Errorf("%s knows of %d limits", h.name(), n)
			}
		}
		s.stop()
	})
}

// learnTime is the time after its start in which a host learns of the existing limits.
const learnTime = 100 * time.Millisecond
