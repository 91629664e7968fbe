package upgrade_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/upgrade"
)

// counts are the answers on one route: good and bad ones of the target, good and bad ones of the
// others; and how many of the target's endpoints gave the bad answers, and how many gave only good
// ones.
type counts struct{ good, bad, otherGood, otherBad, badEndpoints, goodEndpoints int }

var failureCases = map[string]struct {
	counts counts
	bad    bool
}{
	"a few failures on two endpoints":                    {counts{10, 5, 100, 0, 2, 0}, true},
	"failures on a single endpoint":                      {counts{10, 9, 100, 0, 1, 0}, false},
	"too few failures":                                   {counts{0, 3, 100, 0, 3, 0}, false},
	"as many failures as the others show":                {counts{80, 14, 860, 140, 5, 0}, false},
	"a few failures among many good answers":             {counts{200, 6, 1000, 5, 3, 0}, false},
	"failures on few of many endpoints":                  {counts{40, 10, 100, 0, 4, 14}, false},
	"failures on half of many endpoints":                 {counts{40, 10, 100, 0, 9, 9}, true},
	"nothing":                                            {counts{}, false},
	"half of its answers beside endpoints that fail 0.4": {counts{30, 70, 600, 400, 40, 0}, true},
	"as many as endpoints that fail 0.4":                 {counts{60, 40, 600, 400, 40, 0}, false},
	"more than endpoints with few answers":               {counts{30, 70, 26, 14, 40, 0}, false},
}

func evidence(c counts) upgrade.Evidence {
	p := upgrade.VersionCounts{
		Target:           upgrade.Count{Good: c.good, Bad: c.bad},
		Other:            upgrade.Count{Good: c.otherGood, Bad: c.otherBad},
		TargetByEndpoint: spreadAnswers(c.good, c.bad, c.badEndpoints, c.goodEndpoints),
		OtherByEndpoint:  spreadAnswers(c.otherGood, c.otherBad, max(c.badEndpoints+c.goodEndpoints, 4), 0),
	}
	e := upgrade.Evidence{Routes: map[string]upgrade.VersionCounts{"r": p}}
	e.Recent = e.Routes
	for i := range c.badEndpoints {
		e.Endpoints = append(e.Endpoints, fmt.Sprint(i))
	}
	return e
}

// spreadAnswers distributes answers over endpoints in turn: bad ones over those that fail, good
// ones over all.
func spreadAnswers(good, bad, failing, healthy int) upgrade.Tallies {
	t := upgrade.Tallies{}
	deal := func(n, endpoints int, one upgrade.Tally) {
		for i := range n {
			if endpoints > 0 {
				id := fmt.Sprint(i % endpoints)
				t[id] = upgrade.Tally{t[id][0] + one[0], t[id][1] + one[1]}
			}
		}
	}
	deal(good, failing+healthy, upgrade.Tally{1, 0})
	deal(bad, failing, upgrade.Tally{0, 1})
	return t
}

// withFailuresAt returns the evidence with all answers of the target attributed to one endpoint.
func withFailuresAt(e upgrade.Evidence, id string) upgrade.Evidence {
	p := e.Routes["r"]
	p.TargetByEndpoint = upgrade.Tallies{id: {p.Target.Good, p.Target.Bad}}
	e.Routes["r"] = p
	e.Endpoints = []string{id}
	return e
}

func isBad(own upgrade.Evidence, others []upgrade.Evidence, silent int) bool {
	return upgrade.Judge(own, others, upgrade.Unreported{Silent: silent}).Verdict == upgrade.VerdictBad
}

var _ = Describe("the judgement of a version", func() {
	for name, j := range failureCases {
		It("of "+name, func() {
			Expect(isBad(evidence(j.counts), nil, 0)).To(Equal(j.bad))
		})
	}

	It("adds up the evidence of hosts, and detects a single bad route", func() {
		half := evidence(counts{3, 2, 50, 0, 1, 0})
		other := withFailuresAt(evidence(counts{3, 2, 50, 0, 0, 0}), "another")
		good := upgrade.Evidence{Routes: map[string]upgrade.VersionCounts{"q": {Target: upgrade.Count{Good: 500}, Other: upgrade.Count{Good: 500}}}}
		j := upgrade.Judge(half, []upgrade.Evidence{other, good}, upgrade.Unreported{})
		Expect(j.Verdict).To(Equal(upgrade.VerdictBad))
		Expect(j.Reason).To(Equal("bad answers on route r"))
	})
})

// pacedAtLevel returns evidence of a service of which a third of all streams are slow, with some paced
// streams of the target and of the others under load.
func pacedAtLevel(target, other upgrade.Count) upgrade.Evidence {
	all := upgrade.Count{Good: 600, Paced: 600, Slow: 200}
	return upgrade.Evidence{
		Routes:    map[string]upgrade.VersionCounts{"r": {Target: all, Other: all}},
		Levels:    map[string]upgrade.VersionCounts{"0.5": {Target: target, Other: other}},
		Endpoints: []string{"a", "b"},
	}
}

// Guards against good versions that are rolled back since the first few streams of the others under some
// load happen to be fast.
var _ = Describe("the judgement of streams at a load level", func() {
	few := upgrade.Count{Good: 5, Paced: 5, Slow: 4}
	It("expects no fewer slow streams than all those of the others show", func() {
		Expect(isBad(pacedAtLevel(few, upgrade.Count{Good: 5, Paced: 5}), nil, 0)).To(BeFalse())
	})

	It("finds a version that is slow only under a load under which the others are not", func() {
		many := upgrade.Count{Good: 60, Paced: 60, Slow: 55}
		Expect(isBad(pacedAtLevel(many, upgrade.Count{Good: 60, Paced: 60, Slow: 2}), nil, 0)).To(BeTrue())
	})
})

// likelyBadCases are versions beside endpoints that fail 0.4 of their answers.
var likelyBadCases = map[string]struct {
	good, bad int
	likelyBad bool
}{
	"as many failures as the others":       {120, 80, false},
	"somewhat more failures":               {95, 105, true},
	"somewhat more, but of few answers":    {5, 6, false},
	"a single failure":                     {199, 1, false},
	"far more failures than the others do": {60, 140, true},
}

var _ = Describe("LikelyBad", func() {
	for name, d := range likelyBadCases {
		It("compares the likelihoods: "+name, func() {
			e := evidence(counts{d.good, d.bad, 1200, 800, 40, 0})
			Expect(upgrade.Judge(e, nil, upgrade.Unreported{}).LikelyBad()).To(Equal(d.likelyBad))
		})
	}
})

var _ = Describe("unpublished answers", func() {
	seen := evidence(counts{2, 6, 200, 0, 6, 0})
	seen.Seconds = 10

	It("are assumed to be good, as many as hosts have had since they last published", func() {
		j := upgrade.Judge(seen, nil, upgrade.Unreported{Silent: 5, Known: true, HostSeconds: 2})
		Expect(j.Seen.Target).To(Equal(upgrade.Count{Good: 2, Bad: 6}))
		Expect(j.Weighed.Target).To(Equal(upgrade.Count{Good: 2 + 41, Bad: 6}), "208 answers in 10 s")
	})

	It("are none where all hosts had the time to publish", func() {
		j := upgrade.Judge(seen, nil, upgrade.Unreported{Silent: 85, Known: true})
		Expect(j.Weighed.Target).To(Equal(j.Seen.Target))
		Expect(j.Verdict).To(Equal(upgrade.VerdictBad))
	})
})

var _ = Describe("the judgement with many hosts", func() {
	It("assumes good answers of silent hosts, so that failures seen by a few hosts by chance do not make a version bad", func() {
		unlucky := func(id string) upgrade.Evidence {
			return withFailuresAt(evidence(counts{4, 1, 60, 0, 0, 0}), id)
		}
		others := []upgrade.Evidence{unlucky("a"), unlucky("b"), unlucky("c"), unlucky("d")}
		Expect(isBad(unlucky("e"), others, 86)).To(BeFalse())
		Expect(isBad(unlucky("e"), others, 0)).To(BeTrue())
	})
})

var _ = Describe("a larger share", func() {
	published := evidence(counts{2, 0, 20, 0, 0, 0})

	It("is not granted for answers that no host has published", func() {
		Expect(upgrade.Judge(published, nil, upgrade.Unreported{}).Verdict).To(Equal(upgrade.VerdictClear), "22 answers in all, a small service")
		Expect(upgrade.Judge(published, []upgrade.Evidence{evidence(counts{1, 0, 200, 0, 0, 0})}, upgrade.Unreported{Silent: 20}).Verdict).To(Equal(upgrade.VerdictOpen))
	})

	It("is granted for published answers", func() {
		Expect(upgrade.Judge(published, []upgrade.Evidence{evidence(counts{6, 0, 200, 0, 0, 0})}, upgrade.Unreported{Silent: 20}).Verdict).To(Equal(upgrade.VerdictClear))
	})
})

var _ = Describe("the judgement by a host that has seen no answer of the target", func() {
	unlucky := func(id string) upgrade.Evidence {
		return withFailuresAt(evidence(counts{1, 1, 60, 0, 0, 0}), id)
	}
	others := []upgrade.Evidence{unlucky("a"), unlucky("b"), unlucky("c"), unlucky("d"), unlucky("e")}

	It("assumes that silent hosts have seen as much as those that publish", func() {
		Expect(isBad(evidence(counts{0, 0, 60, 0, 0, 0}), others, 85)).To(BeFalse())
	})

	It("follows the others where no host is silent", func() {
		Expect(isBad(evidence(counts{0, 0, 60, 0, 0, 0}), others, 0)).To(BeTrue())
	})
})

// paceCounts are the slow and all paced answers of the target and of the others, and the target's
// endpoints that gave slow ones.
type paceCounts struct{ slow, all, otherSlow, otherAll, endpoints int }

var paceCases = map[string]struct {
	paceCounts
	verdict upgrade.Verdict
}{
	"all answers slow, on two endpoints":     {paceCounts{12, 12, 300, 600, 2}, upgrade.VerdictOpen},
	"more answers, all slow":                 {paceCounts{16, 16, 300, 600, 2}, upgrade.VerdictBad},
	"all answers slow, on a single endpoint": {paceCounts{16, 16, 300, 600, 1}, upgrade.VerdictOpen},
	"half of a plain service's answers slow": {paceCounts{10, 20, 3, 60, 2}, upgrade.VerdictBad},
	"as many slow ones as the others show":   {paceCounts{60, 120, 300, 600, 4}, upgrade.VerdictClear},
	"somewhat more, as with cold caches":     {paceCounts{84, 120, 300, 600, 4}, upgrade.VerdictOpen},
	"too few answers with a pace":            {paceCounts{0, 2, 300, 600, 0}, upgrade.VerdictOpen},
	"enough answers, none of them slow":      {paceCounts{0, 6, 300, 600, 0}, upgrade.VerdictClear},
	"others without a known pace":            {paceCounts{0, 0, 0, 0, 0}, upgrade.VerdictClear},
}

var _ = Describe("the judgement by pace", func() {
	for name, p := range paceCases {
		It("of "+name, func() {
			e := upgrade.Evidence{Routes: map[string]upgrade.VersionCounts{"r": {
				Target: upgrade.Count{Good: max(p.all, 8), Paced: p.all, Slow: p.slow},
				Other:  upgrade.Count{Good: max(p.otherAll, 90), Paced: p.otherAll, Slow: p.otherSlow},
			}}}
			e.Recent = e.Routes
			for i := range p.endpoints {
				e.Endpoints = append(e.Endpoints, fmt.Sprint(i))
			}
			Expect(upgrade.Judge(e, nil, upgrade.Unreported{}).Verdict).To(Equal(p.verdict))
		})
	}
})

// exposureBounds are bounds on exposure as fractions of all requests; 0 selects the default.
var exposureBounds = map[string]float64{
	"the default":       0,
	"a usual one":       0.15,
	"a strict one":      0.0975,
	"a very strict one": 0.03,
	"a generous one":    0.6,
}

var _ = Describe("the share of a new version", func() {
	const within = 24 * time.Second
	schedule := upgrade.NewSchedule(0, within)

	for name, bound := range exposureBounds {
		It("is 0 in the first half, and then the trial's, however late it is: "+name, func() {
			schedule := upgrade.NewSchedule(bound, within)
			trial := upgrade.Progress{}.Share(within/2, schedule)
			Expect(trial).To(And(BeNumerically(">", 0), BeNumerically("<=", 0.25)))
			for s := range 240 {
				elapsed := time.Duration(s) * 100 * time.Millisecond
				share := upgrade.Progress{}.Share(elapsed, schedule)
				if elapsed < within/2 {
					Expect(share).To(BeZero())
					continue
				}
				Expect(share).To(Equal(trial))
			}
		})

		It("rises by stages to all keys: "+name, func() {
			schedule := upgrade.NewSchedule(bound, within)
			last := 0.0
			for stage := range 3 {
				share := upgrade.Progress{Stage: stage}.Share(23*time.Second, schedule)
				Expect(share).To(BeNumerically(">=", last))
				last = share
			}
			Expect(last).To(Equal(1.0))
		})

		It("stays within the bound on exposure in total, whenever the version turns bad: "+name, func() {
			schedule, maxShare := upgrade.NewSchedule(bound, within), bound
			if maxShare == 0 {
				maxShare = maxExposure
			}
			const steps = 2400
			p, exposed := upgrade.Progress{}, 0.0
			for n := range steps {
				elapsed := within * time.Duration(n) / steps
				if p.NextStageDue(elapsed, schedule) {
					p.Stage++
					p.StageMs = schedule.StageStart(p.Stage, elapsed, upgrade.VersionCounts{}).Milliseconds()
				}
				exposed += p.Share(elapsed, schedule) / steps
			}
			Expect(p.Stage).To(Equal(2))
			Expect(exposed).To(BeNumerically("<=", maxShare))
		})
	}

	It("becomes 1 later if the version has given more answers than its share, though in time for the old endpoints", func() {
		highExposure := upgrade.VersionCounts{Target: upgrade.Count{Good: 10}, Other: upgrade.Count{Good: 90}}
		usual := schedule.StageStart(2, 20*time.Second, upgrade.VersionCounts{Other: upgrade.Count{Good: 100}})
		later := schedule.StageStart(2, 20*time.Second, highExposure)
		Expect(later).To(BeNumerically(">", usual))
		Expect(later).To(BeNumerically("<", 23*time.Second))
	})

	It("may be completed only in the last stage, at the end of the time", func() {
		at := func(shown time.Duration) clock.Bounds { return clock.Bounds{Earliest: shown, Latest: shown} }
		Expect(upgrade.Progress{Stage: 1, EndMs: 24_000}.CompletionDue(at(within), schedule)).To(BeFalse())
		last := upgrade.Progress{Stage: 2, StageMs: 22_000, EndMs: 24_000}
		Expect(last.CompletionDue(at(22900*time.Millisecond), schedule)).To(BeFalse())
		Expect(last.CompletionDue(at(23*time.Second), schedule)).To(BeTrue())
		Expect(upgrade.Progress{Stage: 2, StageMs: 25_000, EndMs: 24_000}.CompletionDue(at(within), schedule)).To(BeFalse(), "the stage has not begun")
	})

	It("is completed in time also if the start was written late", func() {
		late := upgrade.Progress{Stage: 2, StartMs: 1_500, StageMs: 22_800, EndMs: 24_000}
		Expect(late.CompletionDue(clock.Bounds{Earliest: 22800 * time.Millisecond, Latest: 23100 * time.Millisecond}, schedule)).To(BeTrue())
	})
})
