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

// seeds is how many plays there are of each; CI plays few.
var seeds = flag.Int("limit.seeds", 1, "plays of each kind of trouble and size; with more than one all are played with 300 hosts")

// troubles are what happens to hosts; times are between two of them.
var troubles = map[string]play{
	"calm":                       {},
	"hosts killed":               {kill: 700 * time.Millisecond},
	"hosts frozen":               {freeze: 700 * time.Millisecond},
	"hosts cut off":              {cut: 700 * time.Millisecond},
	"lenders killed":             {kill: 3 * time.Second, lender: true},
	"lenders frozen":             {freeze: 3 * time.Second, lender: true},
	"lenders cut off":            {cut: 3 * time.Second, lender: true},
	"lenders lost one by one":    {kill: 2300 * time.Millisecond, freeze: 3100 * time.Millisecond, cut: 3700 * time.Millisecond, lender: true},
	"killed, frozen, cut beside": {kill: 1100 * time.Millisecond, freeze: 1300 * time.Millisecond, cut: 1700 * time.Millisecond},
}

// sizes are how many hosts there are.
var sizes = []int{1, 7, 60, 300}

func TestLimitsOfEndpointsWhileHostsAreLost(t *testing.T) {
	for name, trouble := range troubles {
		for _, hosts := range sizes {
			if hosts > 100 && *seeds == 1 && name != "calm" && name != "lenders lost one by one" {
				continue
			}
			t.Run(fmt.Sprint(name, ", ", hosts, " hosts"), func(t *testing.T) {
				worst, used := 0.0, map[int]float64{}
				for seed := range uint64(*seeds) {
					for limited, rate := range map[int]float64{1: 2.5, 4: 8, 12: 5} {
						p := trouble
						p.hosts, p.limited, p.rate, p.seed, p.lasts = hosts, limited, rate, seed, 20*time.Second
						p.asked = max(120, float64(hosts))
						if hosts == 1 {
							p.kill, p.freeze, p.cut = 0, 0, 0
						}
						most, well, got, _ := playOne(t, p)
						worst = max(worst, float64(most)/(rate*standin.LimitWindow.Seconds()))
						if least, ok := used[limited]; !ok || got < least {
							used[limited] = got
						}
						if allowed := standin.LimitMost(rate); well > allowed {
							t.Errorf("seed %d, %d endpoints with %v a second: %d in %s, %d of hosts that were well, %d allowed", seed, limited, rate, most, standin.LimitWindow, well, allowed)
						} else if most > allowed {
							t.Logf("seed %d, %d endpoints with %v a second: %d in %s, %d of hosts that were well, %d allowed", seed, limited, rate, most, standin.LimitWindow, well, allowed)
						}
					}
				}
				t.Logf("worst %.2f of the limit in %s; least used, by the endpoints that name one: %.3v", worst, standin.LimitWindow, used)
			})
		}
	}
}

// playOne plays a world.
func playOne(t *testing.T, p play) (most, well int, got float64, calls int) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(p)
		w.run()
		most, well, got = w.worst(standin.LimitKnown, standin.LimitWindow)
		calls = w.calls
	})
	return most, well, got, calls
}

// TestLimitsLentOrSplit compares lending with each host's keeping to its part by itself, where nine in
// ten requests come to one host and all endpoints name a limit.
func TestLimitsLentOrSplit(t *testing.T) {
	for _, hosts := range []int{7, 60} {
		used := map[way]float64{}
		for _, by := range []way{lending, splitted} {
			p := play{way: by, hosts: hosts, limited: 12, rate: 5, asked: 120, hot: 0.9, lasts: 20 * time.Second}
			most, _, got, calls := playOne(t, p)
			t.Logf("%d hosts, way %d: worst %d in %s, %.2f of the limits used, %d calls between hosts", hosts, by, most, standin.LimitWindow, got, calls)
			used[by] = got
		}
		if used[lending] < 0.8 || used[splitted] > 0.6*used[lending] {
			t.Errorf("%d hosts: %.2f of the limits used by lending, %.2f by splitting", hosts, used[lending], used[splitted])
		}
	}
}

func TestHostThatStartsLearnsOfLimitsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(play{hosts: 5})
		time.Sleep(time.Second)
		w.all[0].fleet.MergeLimit(fleet.LimitUpdate{Endpoint: endpointName(0), Rate: 2, Since: clock.Now(), ConfirmedAt: clock.Now()})
		time.Sleep(time.Second)
		w.killOne(w.all[1])
		time.Sleep(learnedWithin)
		for _, h := range w.all {
			if n := h.fleet.LimitedCount(); n != 1 {
				t.Errorf("%s knows of %d limits", h.name(), n)
			}
		}
		w.stop()
	})
}

// learnedWithin is how long after its start a host knows what limits there are.
const learnedWithin = 100 * time.Millisecond
