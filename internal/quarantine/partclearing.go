package quarantine

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"quaybarrow/internal/clock"
)

const (
	// livedAfter is how long an answer must have been arriving to show that its endpoint does not crash
	// under the parts of its prompt: endpoints that do crash as they begin to write.
	livedAfter = 500 * time.Millisecond
	// maxCountedPause is the most that one pause within an answer counts: a host that was frozen reads
	// afterwards what had arrived before, and its endpoint may have crashed meanwhile.
	maxCountedPause = 200 * time.Millisecond
	// clearInterval is the shortest time between two checks of the parts of one answer.
	clearInterval = 200 * time.Millisecond
	// minToldCrashes is the number of crashes of a part from which on hosts tell each other that it was
	// answered, and store it: it may be suspected to have emptied its service.
	minToldCrashes = minEmptyingCrashes
	// minStoredCrashes is the number of crashes from which on a part is stored.
	minStoredCrashes = 2
	// maxCleared bounds the clearings that a host keeps, and the parts that were answered before, the
	// latest ones.
	maxCleared = 256
)

// endedAnswer is an answer that ended whole a short time after it had begun; its endpoint may be about
// to crash under it.
type endedAnswer struct {
	request  Request
	endpoint string
	due      time.Duration // when the endpoint has outlived it
}

// Lived reports whether the answer has been arriving for long enough to show that its endpoint does
// not crash under it.
func (o *OngoingResponse) Lived() bool { return time.Duration(o.livedFor.Load()) >= livedAfter }

// clearParts discards the crashes of parts up to a time as evidence against them; the caller holds mu.
func (t *Tracker) clearParts(parts []Part, at time.Duration, reason string) {
	for _, p := range parts {
		crashes := t.view().partCounts[p.Key]
		if crashes == 0 {
			continue
		}
		t.ownRow().clearPart(p.Key, at)
		t.untold[p.Key] = struct{}{}
		t.view().clearPart(p.Key, at)
		if crashes >= minToldCrashes {
			t.options.Logger.Info("part of prompts cleared", "part", p.Label, "fingerprint", p.Key, "crashes", crashes, "reason", reason)
			t.tellCleared()
		}
	}
}

// clearPart discards the crashes of a part up to a time.
func (v *mergedView) clearPart(key Fingerprint, at time.Duration) {
	v.Cleared[key] = max(v.Cleared[key], at)
	n := 0
	for _, c := range v.Crashes {
		if _, under := c.Parts[key]; under && c.At > at {
			n++
		}
	}
	v.partCounts[key] = n
}

// tellCleared tells other hosts what this host has cleared; the caller holds mu.
func (t *Tracker) tellCleared() {
	clear(t.untold)
	t.publish()
}

// tellAnswered tells other hosts of parts at crashes that they were answered here before, unless one of
// them has told so; the caller holds mu.
func (t *Tracker) tellAnswered() {
	v, now := t.view(), t.clock.Now()
	told := false
	for key, crashes := range v.partCounts {
		if _, known := v.answered[key]; known || crashes < minToldCrashes {
			continue
		}
		if at, answered := t.answered.early(key, now); answered {
			t.ownRow().answered[key] = at
			told = true
		}
	}
	if told {
		t.publish()
	}
}

// tellIfWanted tells other hosts that a part was answered here if it is at so many crashes elsewhere
// that it matters; the caller holds mu.
func (t *Tracker) tellIfWanted() {
	if len(t.untold) == 0 {
		return
	}
	others := t.othersClearings()
	counts := countParts(t.view().Crashes, others)
	for key := range t.untold {
		if counts[key] >= minToldCrashes {
			t.tellCleared()
			return
		}
	}
}

// othersClearings returns when parts were last cleared, as other hosts have told; the caller holds mu.
func (t *Tracker) othersClearings() map[Fingerprint]time.Duration {
	cleared := map[Fingerprint]time.Duration{}
	for host, r := range t.rows {
		if host == t.options.Host {
			continue
		}
		for key, at := range r.cleared {
			cleared[key] = max(cleared[key], at)
		}
	}
	return cleared
}

// countParts returns the number of crashes of each part since it was cleared.
func countParts(crashes []Crash, cleared map[Fingerprint]time.Duration) map[Fingerprint]int {
	counts := map[Fingerprint]int{}
	for _, c := range crashes {
		for key := range c.Parts {
			if at, ok := cleared[key]; !ok || at < c.At {
				counts[key]++
			}
		}
	}
	return counts
}

// answerLived notes that an answer is still arriving; called for one that has lived, now and then.
func (t *Tracker) answerLived(o *OngoingResponse) {
	request := o.request()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clearParts(request.Parts, t.clock.Now(), "an answer on it is still arriving")
}

// answerEnded notes that an answer to a request has ended whole; the caller holds mu.
func (t *Tracker) answerEnded(o *OngoingResponse, request Request) {
	if len(request.Parts) == 0 {
		return
	}
	due := t.clock.Now() + livedAfter - clock.Since(o.began)
	if o.Lived() {
		t.clearParts(request.Parts, t.clock.Now(), "an answer on it has ended")
		return
	}
	t.ended = append(t.ended, endedAnswer{request: request, endpoint: o.endpoint, due: due})
	t.endedDue.Notify()
}

// clearLoop clears the parts of answers that have ended, once their endpoints have outlived them.
func (t *Tracker) clearLoop(ctx context.Context) {
	for t.endedDue.Wait(ctx) {
		t.endedDue.Clear()
		for t.clearOutlived() > 0 && clock.Sleep(ctx, livedAfter/5) {
			continue
		}
	}
}

// clearOutlived clears the parts of answers whose endpoints have outlived them, and returns how many
// answers are left.
func (t *Tracker) clearOutlived() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var left []endedAnswer
	for _, a := range t.ended {
		if a.due > now {
			left = append(left, a)
			continue
		}
		if c, crashed := t.view().crash(a.endpoint); crashed {
			c.Runs = map[Fingerprint]Run{}
			c.Parts = partRuns(a.request, a.request.Parts)
			t.recordCrash(c)
			continue
		}
		t.clearParts(a.request.Parts, a.due, "an answer on it has ended")
	}
	t.ended = left
	return len(left)
}

// crash returns the crash of an endpoint; false if it is not known to have crashed.
func (v *mergedView) crash(endpoint string) (Crash, bool) {
	i := slices.IndexFunc(v.Crashes, func(c Crash) bool { return c.Endpoint == endpoint })
	if i < 0 {
		return Crash{}, false
	}
	return v.Crashes[i], true
}

// endedAt returns what is known of the parts of answers that had only just ended at an endpoint that
// crashed; the caller holds mu.
func (t *Tracker) endedAt(endpoint string) map[Fingerprint]PartRun {
	var parts map[Fingerprint]PartRun
	for _, a := range t.ended {
		if a.endpoint == endpoint {
			parts = mergeParts(parts, partRuns(a.request, a.request.Parts))
		}
	}
	return parts
}

// clearPart discards the crashes of a part up to a time, and keeps that for other hosts.
func (r record) clearPart(key Fingerprint, at time.Duration) {
	r.noteCleared(key, at)
	for endpoint, c := range r.crashes {
		if _, under := c.Parts[key]; under && c.At <= at {
			c.Parts = maps.Clone(c.Parts)
			delete(c.Parts, key)
			r.crashes[endpoint] = c
		}
	}
}

// noteCleared notes that the crashes of a part up to a time don't count against it.
func (r record) noteCleared(key Fingerprint, at time.Duration) {
	if old, ok := r.cleared[key]; !ok || old < at {
		r.cleared[key] = at
	}
}

// trimCleared drops clearings beyond the limit, and those that are too old to count.
func (r record) trimCleared(oldest time.Duration) {
	for _, times := range []map[Fingerprint]time.Duration{r.cleared, r.answered} {
		maps.DeleteFunc(times, func(_ Fingerprint, at time.Duration) bool { return at < oldest })
		latest := slices.SortedFunc(maps.Keys(times), func(a, b Fingerprint) int {
			return cmp.Or(cmp.Compare(times[b], times[a]), slices.Compare(a[:], b[:]))
		})
		for _, key := range latest[min(len(latest), maxCleared):] {
			delete(times, key)
		}
	}
}
