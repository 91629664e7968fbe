package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspension counts for how long the machine was suspended since the process began. The
// runtime's clock stands still meanwhile; the kernel has one that does not, CLOCK_BOOTTIME.
//
// The time of day goes on too, so as long as it and the runtime's clock keep their distance
// the machine was not suspended, and nothing is asked of the kernel, which takes several times
// as long (BenchmarkNow, BenchmarkSuspended). That a step of the time of day hides a suspension
// of the same length is left to Watch, which asks in any case.
type suspension struct {
	total   atomic.Int64 // ns
	offset  atomic.Int64 // ns, of the time of day from the runtime's clock when the kernel was asked
	started time.Time

	mu        sync.Mutex // guards all below; held while the kernel is asked
	initial     bootOffset // when the process began
	simulated int64      // ns, by Suspend
}

// machineSuspension is the one that this process runs on.
var machineSuspension = newSuspension()

func newSuspension() *suspension { return &suspension{started: time.Now(), initial: readBootOffset()} }

// maxSlew is how far the time of day may go from the runtime's clock, as it does when it is
// set right slowly, before the kernel is asked.
const maxSlew = time.Millisecond

// totalAt is for how long the machine was suspended up to a moment.
func (s *suspension) totalAt(now time.Time) time.Duration {
	offset := now.Round(0).Sub(s.started.Round(0)) - now.Sub(s.started)
	if (offset - time.Duration(s.offset.Load())).Abs() > maxSlew {
		s.readKernel()
		s.offset.Store(int64(offset))
	}
	return time.Duration(s.total.Load())
}

// readKernel asks the kernel.
func (s *suspension) readKernel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := readBootOffset()
	if now.known && s.initial.known {
		s.total.Store(max(s.total.Load(), now.lower-s.initial.upper+s.simulated))
	}
}

// bootOffset is how far CLOCK_BOOTTIME was ahead of the steady clock: both can't be read at once,
// and a thread that waits in between has bounds that are so far apart.
type bootOffset struct {
	lower, upper int64 // ns
	known        bool  // false where the kernel does not tell; Instants count as the runtime does
}

// Bounds of readAhead.
const (
	maxOffsetReads  = 3
	goodOffsetWidth = 50 * time.Microsecond // nearer bounds need no other try
)

// readBootOffset asks until the bounds are near, a few times.
func readBootOffset() bootOffset {
	best := readBootOffsetOnce()
	for range maxOffsetReads - 1 {
		if best.upper-best.lower < int64(goodOffsetWidth) {
			break
		}
		if r := readBootOffsetOnce(); r.upper-r.lower < best.upper-best.lower {
			best = r
		}
	}
	return best
}

func readBootOffsetOnce() bootOffset {
	var before, boot, after unix.Timespec
	for _, c := range []struct {
		id   int32
		into *unix.Timespec
	}{{unix.CLOCK_MONOTONIC, &before}, {unix.CLOCK_BOOTTIME, &boot}, {unix.CLOCK_MONOTONIC, &after}} {
		if err := unix.ClockGettime(c.id, c.into); err != nil {
			return bootOffset{}
		}
	}
	return bootOffset{lower: boot.Nano() - after.Nano(), upper: boot.Nano() - before.Nano(), known: true}
}

// SuspendedTime is for how long the machine was suspended since the process began.
func SuspendedTime() time.Duration {
	machineSuspension.readKernel()
	return time.Duration(machineSuspension.total.Load())
}

// SimulateSuspension has Instants count as if the machine had been suspended for so long: for tests, whose
// paused clock knows no suspension.
func SimulateSuspension(d time.Duration) {
	machineSuspension.mu.Lock()
	defer machineSuspension.mu.Unlock()
	machineSuspension.simulated += int64(d)
	machineSuspension.total.Add(int64(d))
}
