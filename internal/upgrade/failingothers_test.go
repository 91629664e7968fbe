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

// These tests guard against bad versions that are completed beside failing endpoints.
//
// Many endpoints of a service failed part of their requests for reasons of their own. A new version,
// half of whose answers failed in addition, got its first requests, larger shares and in the end all
// of them; its upgrade was completed, and the old endpoints stopped. Callers got failures for the
// rest of the day, and no host ever judged the version bad.
//
// A version counted as bad if it failed more than twice as often as the others, plus a tenth of its
// answers. No version can where the others fail 0.4 of theirs, and every larger share and the
// completion only required that the version was not known to be worse. With many hosts, those that
// had published nothing were also assumed to have seen as many good answers as the publishing ones,
// which published because they had seen some: 24 failures among 34 answers were judged as 24 among
// 181.
//
// The log line of the completion counted 345 failures among 568 answers of the new version and 1,643
// among 5,115 of the old one, and called the new one clear.

// Bounds on a bad version besides maxExposure, as the users specified: it gets no request later
// than maxReaction after its manyBadAnswers-th failure.
const (
	manyBadAnswers = 50
	maxReaction    = 5 * time.Second
)

// service is a service with two versions, some of whose endpoints fail for reasons of their own.
type service struct {
	hosts, endpoints                 int // endpoints of each version
	perSecond                        int // answers of the whole service
	within                           time.Duration
	failingFraction, endpointBadRate float64 // fraction of endpoints that fail, and their failure rate
	badRate                          float64 // excess failure rate of the new version; 0 for a good one
	oldEndpointsOnly                 bool    // the new version's endpoints do not fail
	restarts                         bool    // hosts restart in turn
}

// largeService and smallService are services as users run them.
var (
	largeService = service{hosts: 91, endpoints: 140, perSecond: 290, within: 16 * time.Second}
	smallService = service{hosts: 6, endpoints: 18, perSecond: 100, within: 24 * time.Second}
	// middleService has as many endpoints, nearly all failing, as a test day that failed.
	middleService = service{hosts: 40, endpoints: 60, perSecond: 300, within: 15 * time.Second}
)

func (s service) withFailing(fraction, rate float64) service {
	s.failingFraction, s.endpointBadRate = fraction, rate
	return s
}

func (s service) withBad(rate float64) service {
	s.badRate = rate
	return s
}

// withFailingOld makes only endpoints of the old version fail, which existed when the upgrade began.
func (s service) withFailingOld(fraction, rate float64) service {
	s.oldEndpointsOnly = true
	return s.withFailing(fraction, rate)
}

func (s service) withRestarts() service {
	s.restarts = true
	return s
}

var failingOthers = map[string]service{
	"half fail, beside nine in ten that fail 0.45":                                           largeService.withFailing(0.9, 0.45).withBad(0.5),
	"half fail, beside nine in ten that fail 0.3":                                            largeService.withFailing(0.9, 0.3).withBad(0.5),
	"0.35 fail, beside nine in ten that fail 0.45, hosts restart":                            largeService.withFailing(0.9, 0.45).withBad(0.35).withRestarts(),
	"half fail, beside half that fail 0.4":                                                   largeService.withFailing(0.5, 0.4).withBad(0.5),
	"half fail, beside none that fail":                                                       largeService.withBad(0.5),
	"a third fail, beside none that fail, hosts restart":                                     largeService.withBad(0.33).withRestarts(),
	"half fail on a small service, beside nine in ten that fail 0.45":                        smallService.withFailing(0.9, 0.45).withBad(0.5),
	"half fail on a small service, beside half that fail 0.4":                                smallService.withFailing(0.5, 0.4).withBad(0.5),
	"half fail on a small service, beside nine in ten that fail 0.3, restarts":               smallService.withFailing(0.9, 0.3).withBad(0.5).withRestarts(),
	"0.35 fail, beside old ones of which nine in ten fail 0.45, hosts restart":               largeService.withFailingOld(0.9, 0.45).withBad(0.35).withRestarts(),
	"0.35 fail, beside old ones of which nine in ten fail 0.45":                              largeService.withFailingOld(0.9, 0.45).withBad(0.35),
	"0.35 fail on a small service, beside old ones of which nine in ten fail 0.45":           smallService.withFailingOld(0.9, 0.45).withBad(0.35),
	"good, beside old ones of which nine in ten fail 0.45":                                   largeService.withFailingOld(0.9, 0.45),
	"good on a small service, beside old ones of which nine in ten fail 0.45":                smallService.withFailingOld(0.9, 0.45),
	"good on a small service, beside old ones of which half fail 0.4":                        smallService.withFailingOld(0.5, 0.4),
	"good on a small service, beside old ones of which nine in ten fail 0.45, hosts restart": smallService.withFailingOld(0.9, 0.45).withRestarts(),
	"good, beside half that fail 0.4":                                                        largeService.withFailing(0.5, 0.4),
	"good, beside 0.14 that fail 0.45":                                                       largeService.withFailing(0.14, 0.45),
	"good on a small service, beside half that fail 0.4":                                     smallService.withFailing(0.5, 0.4),
	"good on a small service, beside 0.14 that fail 0.45":                                    smallService.withFailing(0.14, 0.45),
}

// indistinguishable are good versions most of whose own endpoints fail nearly half of their
// answers. They cannot be distinguished from bad versions and are rolled back.
var indistinguishable = map[string]service{
	"beside nine in ten that fail 0.45":                               largeService.withFailing(0.9, 0.45),
	"beside nine in ten that fail 0.45, hosts restart":                largeService.withFailing(0.9, 0.45).withRestarts(),
	"on a small service, beside nine in ten that fail 0.45":           smallService.withFailing(0.9, 0.45),
	"on a small service, beside nine in ten that fail 0.45, restarts": smallService.withFailing(0.9, 0.45).withRestarts(),
}

func TestVersionThatCanNotBeToldFromABadOne(t *testing.T) {
	for name, s := range indistinguishable {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				o := s.play(1)
				o.judgeBad()
				Expect(o.exposed).To(BeNumerically("<=", maxExposure/2*float64(o.all)), "rolled back before it got all of %d", o.all)
			})
		})
	}
}

func TestBadVersionAmongFailingEndpoints(t *testing.T) {
	for name, s := range failingOthers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				s.play(1).judge(s)
			})
		})
	}
}

// nearlyAllSeeds is the number of seeds of each case with nearly all old endpoints failing.
const nearlyAllSeeds = 6

func TestBadVersionBesideOldEndpointsOfWhichNearlyAllFail(t *testing.T) {
	old := middleService.withFailingOld(0.97, 0.375)
	for name, s := range map[string]service{"bad": old.withBad(0.43), "good": old} {
		for seed := range uint64(nearlyAllSeeds) {
			t.Run(fmt.Sprint(name, ", seed ", seed+1), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					RegisterTestingT(t)
					s.play(seed + 1).judge(s)
				})
			})
		}
	}
}

// outcome is what callers and operators observe of an upgrade.
type outcome struct {
	all, exposed, late int    // requests until the end of the time; those of them to the new version; requests sent to it too late
	status             string // at the end of the time
}

// judge checks the outcome of an upgrade.
func (o outcome) judge(s service) {
	if s.badRate == 0 {
		Expect(o.status).To(MatchJSON(completed))
		return
	}
	o.judgeBad()
}

// judgeBad checks the outcome of an upgrade to a bad version.
func (o outcome) judgeBad() {
	Expect(o.late).To(BeZero(), "requests too long after the failures")
	Expect(o.exposed).To(BeNumerically("<=", maxExposure*float64(o.all)+exposureSlack), "of %d", o.all)
	Expect(o.status).To(MatchJSON(`{"state":"rolled_back","target_version":"v2"}`))
}

// play simulates an upgrade of the service, and traffic for a while after the time for it.
func (s service) play(seed uint64) outcome {
	const tick = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, seed))
	h := newHosts(s.hosts)
	defer h.stop()
	h.orderWithin(s.within, 7)
	failing := s.drawFailing(random)
	o, bad, manyBadAt := outcome{}, 0, time.Hour // manyBadAt is later than the whole run until it is known
	for elapsed := time.Duration(0); elapsed < s.within+2*maxReaction; elapsed += tick {
		if s.restarts && elapsed%time.Second == 0 {
			h.restart(int(elapsed/time.Second) * 5 % s.hosts)
			h.orderWithin(s.within, 7)
		}
		for range s.perSecond / int(time.Second/tick) {
			t := h.trackers[random.IntN(s.hosts)]
			r, failed := s.answer(t, random, failing)
			r.Finding = upgrade.Answered{Failed: failed}
			t.Record(r)
			o.count(r, elapsed, s.within, manyBadAt)
			if failed && r.Version == "v2" {
				if bad++; bad == manyBadAnswers {
					manyBadAt = elapsed
				}
			}
		}
		time.Sleep(tick)
		if elapsed+tick == s.within {
			o.status = h.status()
		}
	}
	return o
}

// count adds a request sent elapsed after the order; manyBadAt is when the version had shown
// manyBadAnswers failures.
func (o *outcome) count(r upgrade.Report, elapsed, within, manyBadAt time.Duration) {
	target := r.Version == "v2"
	if elapsed < within {
		o.all++
	}
	if elapsed < within && target {
		o.exposed++
	}
	if elapsed > manyBadAt+maxReaction && target {
		o.late++
	}
}

// drawFailing draws the endpoints that fail for reasons of their own, the same number for each
// version. Drawn from all endpoints at nine in ten, they were 132 of one version and 120 of the
// other, which does not make a good version.
func (s service) drawFailing(random *rand.Rand) map[string]bool {
	failing := map[string]bool{}
	for _, version := range []string{"v1", "v2"} {
		if version == "v2" && s.oldEndpointsOnly {
			continue
		}
		for _, i := range random.Perm(s.endpoints)[:int(s.failingFraction*float64(s.endpoints))] {
			failing[fmt.Sprintf("%s-%d", version, i)] = true
		}
	}
	return failing
}

// answer returns the answer to a request with a random key.
func (s service) answer(t *upgrade.Tracker, random *rand.Rand, failing map[string]bool) (upgrade.Report, bool) {
	return s.answerTo(t, random.Uint64(), random, failing)
}

// answerTo returns the answer to a request with the given key, on a version that the host allows,
// and whether it failed.
func (s service) answerTo(t *upgrade.Tracker, key uint64, random *rand.Rand, failing map[string]bool) (upgrade.Report, bool) {
	version, badRate := "v1", 0.0
	if allowed := t.Allowed("s", key); allowed != nil && allowed("v2") {
		version, badRate = "v2", s.badRate
	}
	id := fmt.Sprintf("%s-%d", version, random.IntN(s.endpoints))
	failed := random.Float64() < badRate || (failing[id] && random.Float64() < s.endpointBadRate)
	return upgrade.Report{Service: "s", Version: version, Endpoint: id, Route: "r"}, failed
}
