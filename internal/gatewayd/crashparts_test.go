package gatewayd_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/memnet"
	"quaybarrow/platform/standin"
)

// The users' bounds on requests with a part in their prompts under which endpoints crash.
const (
	partCrashes       = 5 // crashes that a part may cause
	partKnownWithin   = 3 * time.Second
	maxLatePartSends  = 3
	partServedAfter   = 2 * partKnownWithin
	minPartsServed    = 0.5
	partScenarioLasts = 24 * time.Second
	// partHostsAway is how long hosts that are cut off, or stopped, are away.
	partHostsAway = 4 * time.Second
)

// partScenario describes a run in which requests with one part in their prompts, no two alike, crash
// the endpoints that run them.
type partScenario struct {
	crashScenario
	parts         []string      // of the crashing requests, but the last; nil for no such requests
	soundFirst    float64       // fraction of the sound requests that have the first of these parts, which must be sound
	soundTemplate float64       // fraction of the sound requests that have the part "template"
	burst         int           // crashing requests that come at once; one if 0
	repeat        int           // how often the caller of a crashing request sends it again, under another ID
	cutAt         time.Duration // when every second host is cut off from all others; 0 for never
	startAt       time.Duration // when half of the hosts are killed, to start later; 0 for never
	kinds         int           // different parts under which endpoints crash, each in requests of its own; one if 0
	killEvery     time.Duration // time between kills of single hosts, in turn, which start again at once; 0 for none
	lasts         time.Duration // partScenarioLasts if 0
}

var partScenarios = map[string]partScenario{
	"the second part":                    {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 150 * time.Millisecond}},
	"the second part, one first for all": {parts: []string{"first", crashPart}, soundFirst: 1, crashScenario: crashScenario{interval: 150 * time.Millisecond}},
	"the first part":                     {parts: []string{crashPart, "second"}, crashScenario: crashScenario{interval: 150 * time.Millisecond}},
	"after the head of the answer":       {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 150 * time.Millisecond, afterHead: true}},
	"always beside a sound part":         {parts: []string{"first", "template", crashPart}, soundFirst: 0.5, soundTemplate: 0.5, crashScenario: crashScenario{interval: 150 * time.Millisecond}},
	"always beside a rare sound part":    {parts: []string{"first", crashPart, "template"}, soundFirst: 0.5, soundTemplate: 0.03, crashScenario: crashScenario{interval: 150 * time.Millisecond}},
	"beside random crashes":              {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 150 * time.Millisecond, randomCrashInterval: 700 * time.Millisecond}},
	"rarely":                             {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 1500 * time.Millisecond}},
	"rarely, beside random crashes":      {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 1500 * time.Millisecond, randomCrashInterval: 700 * time.Millisecond}},
	"more at once than endpoints":        {parts: []string{"first", crashPart}, soundFirst: 0.5, burst: 24, crashScenario: crashScenario{interval: 700 * time.Millisecond}},
	"repeated by their callers":          {parts: []string{"first", crashPart}, soundFirst: 0.5, repeat: 3, crashScenario: crashScenario{interval: 300 * time.Millisecond}},
	"often, at 6 hosts":                  {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 30 * time.Millisecond, hosts: 6, machines: 18}},
	"at one host":                        {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 150 * time.Millisecond, hosts: 1}},
	"at 30 hosts":                        {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 100 * time.Millisecond, hosts: 30, machines: 40}},
	"all hosts are killed and restarted": {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 150 * time.Millisecond, killAt: 10 * time.Second}},
	"while the store does not answer":    {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 150 * time.Millisecond, storeSilent: true}},
	"half of the hosts start late":       {parts: []string{"first", crashPart}, soundFirst: 0.5, startAt: time.Second, crashScenario: crashScenario{interval: 150 * time.Millisecond}},
	"three parts at once":                {parts: []string{"first", crashPart}, soundFirst: 0.5, kinds: 3, crashScenario: crashScenario{interval: 150 * time.Millisecond}},
	"three parts at once, often":         {parts: []string{"first", crashPart}, soundFirst: 1, kinds: 3, crashScenario: crashScenario{interval: 40 * time.Millisecond}},
	"a second after arrival":             {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 150 * time.Millisecond, crashAfter: time.Second}},
	"a second after arrival, often":      {parts: []string{"first", crashPart}, soundFirst: 1, crashScenario: crashScenario{interval: 40 * time.Millisecond, crashAfter: time.Second}},
	"once in four seconds":               {parts: []string{"first", crashPart}, soundFirst: 0.5, lasts: time.Minute, crashScenario: crashScenario{interval: 4 * time.Second}},
	"once in four, beside random ones":   {parts: []string{"first", crashPart}, soundFirst: 0.5, lasts: time.Minute, crashScenario: crashScenario{interval: 4 * time.Second, randomCrashInterval: 700 * time.Millisecond}},
	"hosts killed in turn":               {parts: []string{"first", crashPart}, soundFirst: 0.5, killEvery: time.Second, crashScenario: crashScenario{interval: 150 * time.Millisecond}},
	"three parts, hosts killed in turn":  {parts: []string{"first", crashPart}, soundFirst: 0.5, kinds: 3, killEvery: time.Second, crashScenario: crashScenario{interval: 150 * time.Millisecond}},
	"all lose power after a verdict":     {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 150 * time.Millisecond, killAt: 1500 * time.Millisecond, endpointsLostAt: 1500 * time.Millisecond}},
	"all lose power before a verdict":    {parts: []string{"first", crashPart}, soundFirst: 0.5, crashScenario: crashScenario{interval: 150 * time.Millisecond, killAt: 300 * time.Millisecond, endpointsLostAt: 300 * time.Millisecond}},
	"bursts, all hosts killed":           {parts: []string{"first", crashPart}, soundFirst: 0.5, burst: 8, crashScenario: crashScenario{interval: 700 * time.Millisecond, killAt: 10 * time.Second}},
	"half of the hosts are cut off":      {parts: []string{"first", crashPart}, soundFirst: 0.5, cutAt: 10 * time.Second, crashScenario: crashScenario{interval: 150 * time.Millisecond}},
}

func TestPartOfPromptsThatCrashesEndpoints(t *testing.T) {
	for name, d := range partScenarios {
		t.Run(name, func(t *testing.T) {
			runPartScenario(t, d, func(r *partRig) {
				late, fifth, times := 0, time.Time{}, ""
				for kind := range max(d.kinds, 1) {
					part := crashPart
					if d.kinds > 1 {
						part += fmt.Sprint(kind)
					}
					sends, crashes := r.crashTimes(part)
					Expect(len(crashes)).To(BeNumerically(">=", partCrashes))
					slices.SortFunc(crashes, time.Time.Compare)
					fifth = crashes[partCrashes-1]
					lateHere := 0
					for _, at := range sends {
						if at.After(fifth.Add(partKnownWithin)) {
							lateHere++
						}
					}
					late = max(late, lateHere)
					times += fmt.Sprintf("%d sends, %d endpoints crashed, %d sends late; ", len(sends), len(crashes), lateHere)
				}
				served := r.servedFrom(fifth.Add(partServedAfter))
				t.Logf("%s%.3f of the sound requests served, %d of them refused, %d for a part", times, served, r.refused(), r.refusedFor("part"))
				Expect(late).To(BeNumerically("<=", maxLatePartSends), "sends later than %s after the fifth crash", partKnownWithin)
				Expect(served).To(BeNumerically(">=", minPartsServed))
			})
		})
	}
}

// soundScenarios are runs in which no part makes endpoints crash.
var soundScenarios = map[string]partScenario{
	"endpoints crash at random":              {soundFirst: 0.5, crashScenario: crashScenario{randomCrashInterval: 700 * time.Millisecond}},
	"endpoints crash at random, fast":        {soundFirst: 1, crashScenario: crashScenario{randomCrashInterval: 300 * time.Millisecond}},
	"all lose power":                         {soundFirst: 1, crashScenario: crashScenario{killAt: 10 * time.Second, endpointsLostAt: 10 * time.Second}},
	"all endpoints lose power":               {soundFirst: 1, crashScenario: crashScenario{endpointsLostAt: 10 * time.Second}},
	"one request crashes them, sent often":   {soundFirst: 1, crashScenario: crashScenario{path: "/stream/", interval: 250 * time.Millisecond}},
	"one request crashes them, many at once": {soundFirst: 1, crashScenario: crashScenario{path: "/stream/", interval: 400 * time.Millisecond, copies: 24}},
}

func TestSoundPartsBesideCrashesAreNotRefused(t *testing.T) {
	for name, d := range soundScenarios {
		t.Run(name, func(t *testing.T) {
			runPartScenario(t, d, func(r *partRig) {
				t.Logf("%.3f of the sound requests served, %d refused, %d for a part", r.servedFrom(time.Time{}), r.refused(), r.refusedFor("part"))
				Expect(r.refusedFor("crash")).To(BeZero())
			})
		})
	}
}

// partRig is a crashRig whose callers send prompts.
type partRig struct {
	*crashRig
	scenario partScenario

	refusals sync.Map // reasons by request ID
}

func runPartScenario(t *testing.T, d partScenario, check func(r *partRig)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		r := &partRig{crashRig: newCrashRig(d.crashScenario), scenario: d}
		defer r.stop()
		ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(d.lasts, partScenarioLasts))
		defer cancel()
		for range crashCallers {
			r.calling.Go(func() { r.callSound(ctx) })
		}
		if d.parts != nil {
			r.calling.Go(func() { r.sendParts(ctx) })
		}
		if d.path != "" {
			r.calling.Go(func() { r.sendCrashing(ctx, d.crashScenario) })
		}
		if d.randomCrashInterval > 0 {
			r.calling.Go(func() { r.crashAtRandom(ctx, d.randomCrashInterval) })
		}
		if d.killAt > 0 {
			r.calling.Go(func() { r.killAll(ctx, d.killAt) })
		}
		r.calling.Go(func() { r.loseEndpoints(ctx, d.endpointsLostAt) })
		r.calling.Go(func() { r.cutHalf(ctx) })
		r.calling.Go(func() { r.startLate(ctx) })
		if d.killEvery > 0 {
			r.calling.Go(func() { r.killInTurn(ctx) })
		}
		if d.storeSilent {
			r.store.SetFault(standin.Silent)
		}
		r.calling.Wait()
		r.store.SetFault(standin.Healthy)
		check(r)
	})
}

// callSound sends sound requests until ctx ends.
func (r *partRig) callSound(ctx context.Context) {
	for ctx.Err() == nil {
		serial := r.randomInt(1 << 30)
		first, parts := fmt.Sprint("other", serial%3), []string{fmt.Sprint("own", serial%40), fmt.Sprint("last", serial)}
		if float64(r.randomInt(1000)) < 1000*r.scenario.soundFirst {
			first = "first"
		}
		if float64(r.randomInt(1000)) < 1000*r.scenario.soundTemplate {
			parts = append([]string{"template"}, parts...)
		}
		sentAt := time.Now()
		status := r.sendPrompt(ctx, r.randomInt(len(r.hosts)), append([]string{first}, parts...))
		if ctx.Err() == nil {
			r.record(sentAt, "sound", status, true)
		}
		sleepFor(ctx, time.Duration(r.randomInt(200))*time.Millisecond)
	}
}

// sendParts sends requests with the parts under which endpoints crash, no two alike, to random hosts.
func (r *partRig) sendParts(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		for range max(r.scenario.burst, 1) {
			serial := r.randomInt(1 << 30)
			running.Go(func() {
				for range 1 + r.scenario.repeat {
					parts := append(slices.Clone(r.scenario.parts), fmt.Sprint("last", serial))
					if r.scenario.kinds > 1 {
						parts[slices.Index(parts, crashPart)] += fmt.Sprint(serial % r.scenario.kinds)
					}
					if r.sendPrompt(ctx, r.randomInt(len(r.hosts)), parts) == http.StatusOK || ctx.Err() != nil {
						return
					}
				}
			})
		}
		sleepFor(ctx, r.scenario.interval)
	}
}

// sendPrompt sends a request with a prompt and returns the status, or 0 if no complete response arrived.
func (r *partRig) sendPrompt(ctx context.Context, host int, parts []string) int {
	id := r.nextID()
	a := r.exchange(ctx, host, standin.NewRequest(http.MethodPost, "/stream/x", "prompt "+parts[len(parts)-1]).WithID(id).WithParts(parts...))
	if a.Err != nil {
		return 0
	}
	if a.Status >= http.StatusBadRequest && !slices.ContainsFunc(parts, func(p string) bool { return strings.HasPrefix(p, crashPart) }) {
		r.refusals.Store(id, a.Body)
	}
	return a.Status
}

// cutHalf cuts every second host off from all other hosts for a while.
func (r *partRig) cutHalf(ctx context.Context) {
	if r.scenario.cutAt == 0 || !sleepFor(ctx, r.scenario.cutAt) {
		return
	}
	set := func(s memnet.LinkState) {
		for i, h := range r.hosts {
			h.link.Set(s, func(address string) bool {
				return slices.ContainsFunc(r.hosts, func(o *crashHost) bool { return o.number%2 != i%2 && address == o.address(83) })
			})
		}
	}
	set(memnet.LinkSilent)
	sleepFor(ctx, partHostsAway)
	set(memnet.LinkUp)
}

// startLate kills half of the hosts and starts them later.
func (r *partRig) startLate(ctx context.Context) {
	if r.scenario.startAt == 0 || !sleepFor(ctx, r.scenario.startAt) {
		return
	}
	half := r.hosts[len(r.hosts)/2:]
	for _, h := range half {
		h.kill()
	}
	time.Sleep(partHostsAway)
	for _, h := range half {
		h.start()
	}
}

// killInTurn kills one host after the other, each of which starts again at once.
func (r *partRig) killInTurn(ctx context.Context) {
	for i := 0; sleepFor(ctx, r.scenario.killEvery); i++ {
		h := r.hosts[i%len(r.hosts)]
		h.kill()
		h.start()
	}
}

// crashTimes returns the times at which requests with a part under which endpoints crash reached
// endpoints, and at which endpoints that had received one crashed.
func (r *partRig) crashTimes(part string) (sends, crashes []time.Time) {
	for _, m := range r.machines {
		for _, e := range m.Starts() {
			under := false
			for _, s := range e.Requests() {
				if standin.HasPart(s.Head, part) && !s.Rejected {
					sends = append(sends, s.At)
					under = true
				}
			}
			if at := e.CrashedAt(); under && !at.IsZero() {
				crashes = append(crashes, at)
			}
		}
	}
	return sends, crashes
}

// servedFrom returns the fraction of the sound requests sent from a time on that were served.
func (r *partRig) servedFrom(from time.Time) float64 {
	all, good := 0, 0
	for _, o := range r.outcomes {
		if o.path != "sound" || o.began.Before(from) {
			continue
		}
		all++
		if o.status == http.StatusOK {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

// refused returns the number of sound requests that hosts refused.
func (r *partRig) refused() int { return r.refusedFor("") }

// refusedFor returns the number of sound requests that were refused with a text in the reason.
func (r *partRig) refusedFor(text string) int {
	n := 0
	r.refusals.Range(func(_, reason any) bool {
		if strings.Contains(reason.(string), text) {
			n++
		}
		return true
	})
	return n
}
