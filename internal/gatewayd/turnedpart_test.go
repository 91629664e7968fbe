package gatewayd_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quaybarrow/platform/standin"
)

// turnedScenarios are runs in which a part of prompts that was answered for a while begins to make endpoints crash.
var turnedScenarios = map[string]partScenario{
	"often":                    {crashScenario: crashScenario{interval: 150 * time.Millisecond}},
	"with few endpoints":       {crashScenario: crashScenario{interval: 150 * time.Millisecond, machines: 5}},
	"in bursts, all crash":     {burst: 24, crashScenario: crashScenario{interval: 700 * time.Millisecond}},
	"rarely":                   {crashScenario: crashScenario{interval: 1500 * time.Millisecond}},
	"in bursts, few endpoints": {burst: 12, crashScenario: crashScenario{interval: 400 * time.Millisecond, machines: 5}},
	"in the prompts of all":    {soundTemplate: 1, crashScenario: crashScenario{interval: 150 * time.Millisecond}},
}

const (
	turnsAfter  = 8 * time.Second
	turnedLasts = 110 * time.Second
)

// TestPartThatTurnsBadIsSentNoMoreOftenThanAllowed guards against trying a part again and again that crashes
// endpoints, because it was answered before.
func TestPartThatTurnsBadIsSentNoMoreOftenThanAllowed(t *testing.T) {
	for name, d := range turnedScenarios {
		t.Run(name, func(t *testing.T) {
			d.parts, d.soundFirst, d.lasts = []string{"first", crashPart}, 0.5, turnedLasts
			began := sync.OnceValue(time.Now) // the first request's arrival
			d.script = func(service string, r *http.Request) standin.Script {
				if time.Since(began()) < turnsAfter && service == "model" && standin.HasPartLike(r.Header, crashPart) {
					return standin.Stream{Events: 8, Gap: 80 * time.Millisecond, Confidence: 100}
				}
				return nil
			}
			runPartScenario(t, d, func(r *partRig) {
				sends, crashes := r.crashTimes(crashPart)
				Expect(len(crashes)).To(BeNumerically(">=", partCrashes))
				slices.SortFunc(crashes, time.Time.Compare)
				fifth, late := crashes[partCrashes-1], ""
				n := 0
				for _, at := range sends {
					if at.After(fifth.Add(partKnownWithin)) {
						n++
						late += fmt.Sprintf(" %.1f", at.Sub(fifth).Seconds())
					}
				}
				t.Logf("%d endpoints crashed, %d sends late:%s; %.3f of the sound requests served", len(crashes), n, late, r.servedFrom(fifth.Add(partServedAfter)))
				Expect(n).To(BeNumerically("<=", maxLatePartSends))
			})
		})
	}
}
