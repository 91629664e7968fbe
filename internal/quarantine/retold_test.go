package quarantine

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// TestVerdictStaysWhenCrashesAreToldAgain guards against taking a verdict back because a host told the same
// crashes once more, and its message took longer.
func TestVerdictStaysWhenCrashesAreToldAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker(Options{Host: "a", FreshStart: true, CountEndpoints: func(string) int { return 12 }, Logger: log.New(io.Discard)})
		part, requests := NewPart("s", "dead"), make([]Request, 5)
		for i := range requests {
			requests[i] = Request{Fingerprint: fingerprintOf(uint64(i+1) << 32), Workspace: "w", Parts: []Part{part}}
		}
		began := tracker.clock.Now()
		row := func(first int, moments ...time.Duration) record {
			r := newRecord()
			for i, at := range moments {
				id := string(rune('a' + first + i))
				r.add(BrokenAttempt{Endpoint: id, Address: id, Service: "s", Request: requests[first+i]}.crash(began + at))
			}
			return r
		}
		tell := func(host string, version int64, r record, delay time.Duration) {
			value, err := r.encode(delay - tracker.clock.Now())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := tracker.HandleUpdate(t.Context(), Update{Rows: []Row{{Host: host, Version: version, Value: value}}}); err != nil {
				t.Fatal(err)
			}
		}
		const apart, late = sameMoment + 2*time.Millisecond, 4 * time.Millisecond
		even, odd := row(0, 0, 2*apart, 2*apart), row(3, apart, apart)
		next := Request{Fingerprint: fingerprintOf(9 << 32), Workspace: "w", Parts: []Part{part}}
		refused := func() bool {
			tracker.Status(next)
			time.Sleep(2 * lateSettleDelay)
			return tracker.Status(next).Quarantined
		}
		tell("b", 1, even, 0)
		tell("c", 1, odd, 0)
		if !refused() {
			t.Fatal("five crashes at three moments bring the part into quarantine")
		}
		tell("c", 2, odd, late)
		if !refused() {
			t.Error("the part is in quarantine no more after the same crashes were told again, later")
		}
	})
}
