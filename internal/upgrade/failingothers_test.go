package upgrade_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quaybarrow/internal/upgrade"
)

// Callers got failures from a new version for the rest of the day. No host ever found it bad.
//
// Order of events: many endpoints of a service failed a part of their requests, for reasons
// of their own. A new version came, half of whose answers failed besides. It got its first
// requests, larger shares, and in time all of them; its upgrade was written as completed, and
// the old endpoints stopped.
//
// Cause: a version was bad if it failed more than twice as often as the others, and a tenth
// more. Where the others fail 0.4 of their answers no version can. Not to be known as
// worse was enough for every larger share and for the completion. Besides, where there are
// many hosts, those that had told nothing were taken to have seen as many good answers as
// those that told had seen, who told because they had seen some: 24 failures among 34 answers
// were weighed as 24 among 181.
//
// Proof: the line of the completion counted 345 failures among 568 answers of the new
// version, 1,643 among 5,115 of the old one, and called the new one clear.

// Bounds of what a bad version may get besides exposeShare, as the users tell: nothing that
// is sent lateAfter after its badMost-th failure.
const (
	badMost   = 50
	lateAfter = 5 * time.Second
)

// service is a service with two versions, some of whose endpoints fail for reasons of their own.
type service struct {
	hosts, endpoints int // the latter of each version
	perSecond        int // answers of the whole service
	within           time.Duration
	illPart, illRate float64 // endpoints that fail, and the part of their answers that they fail
	badRate          float64 // part of the answers that the new version fails besides; 0 for a good one
	oldOnly          bool    // the new endpoints are well
	restarts         bool    // hosts start again in turn
}

// grown and small are services as users run them.
var (
	grown = service{hosts: 91, endpoints: 140, perSecond: 290, within: 16 * time.Second}
	small = service{hosts: 6, endpoints: 18, perSecond: 100, within: 24 * time.Second}
	// middle has as many endpoints of which nearly all fail as a played day that was lost.
	middle = service{hosts: 40, endpoints: 60, perSecond: 300, within: 15 * time.Second}
)

func (s service) withIll(part, rate float64) service {
	s.illPart, s.illRate = part, rate
	return s
}

func (s service) withBad(rate float64) service {
	s.badRate = rate
	return s
}

// withIllOld has only old endpoints fail, as those that were there when it began.
func (s service) withIllOld(part, rate float64) service {
	s.oldOnly = true
	return s.withIll(part, rate)
}

func (s service) withRestarts() service {
	s.restarts = true
	return s
}

var failingOthers = map[string]service{
	"half fail, beside nine in ten that fail 0.45":                                        grown.withIll(0.9, 0.45).withBad(0.5),
	"half fail, beside nine in ten that fail 0.3":                                         grown.withIll(0.9, 0.3).withBad(0.5),
	"0.35 fail, beside nine in ten that fail 0.45, hosts start again":                     grown.withIll(0.9, 0.45).withBad(0.35).withRestarts(),
	"half fail, beside half that fail 0.4":                                                grown.withIll(0.5, 0.4).withBad(0.5),
	"half fail, beside none that fail":                                                    grown.withBad(0.5),
	"a third fail, beside none that fail, hosts start again":                              grown.withBad(0.33).withRestarts(),
	"half fail on a small service, beside nine in ten that fail 0.45":                     small.withIll(0.9, 0.45).withBad(0.5),
	"half fail on a small service, beside half that fail 0.4":                             small.withIll(0.5, 0.4).withBad(0.5),
	"half fail on a small service, beside nine in ten that fail 0.3, restarts":            small.withIll(0.9, 0.3).withBad(0.5).withRestarts(),
	"0.35 fail, beside old ones of which nine in ten fail 0.45, hosts start again":        grown.withIllOld(0.9, 0.45).withBad(0.35).withRestarts(),
	"0.35 fail, beside old ones of which nine in ten fail 0.45":                           grown.withIllOld(0.9, 0.45).withBad(0.35),
	"0.35 fail on a small service, beside old ones of which nine in ten fail 0.45":        small.withIllOld(0.9, 0.45).withBad(0.35),
	"good, beside old ones of which nine in ten fail 0.45":                                grown.withIllOld(0.9, 0.45),
	"good on a small service, beside old ones of which nine in ten fail 0.45":             small.withIllOld(0.9, 0.45),
	"good on a small service, beside old ones of which half fail 0.4":                     small.withIllOld(0.5, 0.4),
	"good on a small service, beside old ones of which nine in ten fail 0.45, hosts stop": small.withIllOld(0.9, 0.45).withRestarts(),
	"good, beside half that fail 0.4":                                                     grown.withIll(0.5, 0.4),
	"good, beside 0.14 that fail 0.45":                                                    grown.withIll(0.14, 0.45),
	"good on a small service, beside half that fail 0.4":                                  small.withIll(0.5, 0.4),
	"good on a small service, beside 0.14 that fail 0.45":                                 small.withIll(0.14, 0.45),
}

// undecided are good versions most of whose own endpoints fail nearly half of their answers.
// They can't be told from versions that do, and are taken back.
var undecided = map[string]service{
	"beside nine in ten that fail 0.45":                               grown.withIll(0.9, 0.45),
	"beside nine in ten that fail 0.45, hosts start again":            grown.withIll(0.9, 0.45).withRestarts(),
	"on a small service, beside nine in ten that fail 0.45":           small.withIll(0.9, 0.45),
	"on a small service, beside nine in ten that fail 0.45, restarts": small.withIll(0.9, 0.45).withRestarts(),
}

func TestVersionThatCanNotBeToldFromABadOne(t *testing.T) {
	for what, s := range undecided {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				o := s.play(1)
				o.judgeBad()
				Expect(o.exposed).To(BeNumerically("<=", exposeShare/2*float64(o.all)), "taken back before it got all of %d", o.all)
			})
		})
	}
}

func TestBadVersionAmongFailingEndpoints(t *testing.T) {
	for what, s := range failingOthers {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				s.play(1).judge(s)
			})
		})
	}
}

// nearlyAll are the seeds of the plays beside old endpoints of which nearly all fail.
const nearlyAll = 6

func TestBadVersionBesideOldEndpointsOfWhichNearlyAllFail(t *testing.T) {
	old := middle.withIllOld(0.97, 0.375)
	for what, s := range map[string]service{"bad": old.withBad(0.43), "good": old} {
		for seed := range uint64(nearlyAll) {
			t.Run(fmt.Sprint(what, ", seed ", seed+1), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					RegisterTestingT(t)
					s.play(seed + 1).judge(s)
				})
			})
		}
	}
}

// outcome is what callers and operators saw of an upgrade.
type outcome struct {
	all, exposed, late int    // requests until the end of the time; of them the new version's; those sent too late
	status             string // at the end of the time
}

// judge checks an upgrade's outcome.
func (o outcome) judge(s service) {
	if s.badRate == 0 {
		Expect(o.status).To(MatchJSON(completed))
		return
	}
	o.judgeBad()
}

// judgeBad checks that of a bad version.
func (o outcome) judgeBad() {
	Expect(o.late).To(BeZero(), "requests long after the failures had shown")
	Expect(o.exposed).To(BeNumerically("<=", exposeShare*float64(o.all)+exposeSlack), "of %d", o.all)
	Expect(o.status).To(MatchJSON(`{"state":"rolled_back","target_version":"v2"}`))
}

// play upgrades the service, and goes on for a while after the time for it.
func (s service) play(seed uint64) outcome {
	const tick = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, seed))
	h := newHosts(s.hosts)
	defer h.stop()
	h.orderWithin(s.within, 7)
	ill := s.draw(random)
	o, bad, badAt := outcome{}, 0, time.Hour // until it is known, later than all
	for passed := time.Duration(0); passed < s.within+2*lateAfter; passed += tick {
		if s.restarts && passed%time.Second == 0 {
			h.restart(int(passed/time.Second) * 5 % s.hosts)
			h.orderWithin(s.within, 7)
		}
		for range s.perSecond / int(time.Second/tick) {
			t := h.trackers[random.IntN(s.hosts)]
			r, failed := s.answer(t, random, ill)
			r.Finding = upgrade.Answered{Failed: failed}
			t.Record(r)
			o.count(r, passed, s.within, badAt)
			if failed && r.Version == "v2" {
				if bad++; bad == badMost {
					badAt = passed
				}
			}
		}
		time.Sleep(tick)
		if passed+tick == s.within {
			o.status = h.status()
		}
	}
	return o
}

// count takes in a request that was sent after a time, of an upgrade of a length, whose version had
// shown enough failures at a moment.
func (o *outcome) count(r upgrade.Report, passed, within, badAt time.Duration) {
	target := r.Version == "v2"
	if passed < within {
		o.all++
	}
	if passed < within && target {
		o.exposed++
	}
	if passed > badAt+lateAfter && target {
		o.late++
	}
}

// draw draws the endpoints that fail for reasons of their own, as many of each version: drawn
// from all, nine in ten were 132 of one version and 120 of the other, which is no good version.
func (s service) draw(random *rand.Rand) map[string]bool {
	ill := map[string]bool{}
	for _, version := range []string{"v1", "v2"} {
		if version == "v2" && s.oldOnly {
			continue
		}
		for _, i := range random.Perm(s.endpoints)[:int(s.illPart*float64(s.endpoints))] {
			ill[fmt.Sprintf("%s-%d", version, i)] = true
		}
	}
	return ill
}

// answer is one request's, on the version that a host allows it.
func (s service) answer(t *upgrade.Tracker, random *rand.Rand, ill map[string]bool) (upgrade.Report, bool) {
	return s.answerTo(t, random.Uint64(), random, ill)
}

// answerTo is that of a request with a key.
func (s service) answerTo(t *upgrade.Tracker, key uint64, random *rand.Rand, ill map[string]bool) (upgrade.Report, bool) {
	version, badRate := "v1", 0.0
	if allowed := t.Allowed("s", key); allowed != nil && allowed("v2") {
		version, badRate = "v2", s.badRate
	}
	id := fmt.Sprintf("%s-%d", version, random.IntN(s.endpoints))
	failed := random.Float64() < badRate || (ill[id] && random.Float64() < s.illRate)
	return upgrade.Report{Service: "s", Version: version, Endpoint: id, Route: "r"}, failed
}
