package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspension measures for how long the machine was suspended since the process started. The
// runtime's monotonic clock stops during suspension; the kernel's CLOCK_BOOTTIME does not.
//
// The wall clock does not stop either. As long as the offset between it and the monotonic clock is
// constant, the machine was not suspended, and the kernel's clocks are not read, which takes several
// times as long (BenchmarkNow, BenchmarkSuspended). A step of the wall clock can hide a suspension of
// the same length; Watch, which always reads the kernel's clocks, detects it.
type suspension struct {
	total   atomic.Int64 // ns
	offset  atomic.Int64 // ns, wall clock minus monotonic clock since started, when the kernel was last read
	started time.Time

	mu        sync.Mutex // guards the fields below; held while the kernel's clocks are read
	initial   bootOffset // when the process started
	simulated int64      // ns, by SimulateSuspension
}

// machineSuspension measures the suspensions of the machine that runs this process.
var machineSuspension = newSuspension()

func newSuspension() *suspension { return &suspension{started: time.Now(), initial: readBootOffset()} }

// maxSlew is how far the offset between wall clock and monotonic clock may change, as it does when
// the wall clock is slewed, before the kernel's clocks are read.
const maxSlew = time.Millisecond

// totalAt returns the total time for which the machine was suspended until now.
func (s *suspension) totalAt(now time.Time) time.Duration {
	offset := now.Round(0).Sub(s.started.Round(0)) - now.Sub(s.started)
	if (offset - time.Duration(s.offset.Load())).Abs() > maxSlew {
		s.readKernel()
		s.offset.Store(int64(offset))
	}
	return time.Duration(s.total.Load())
}

// readKernel updates the total from the kernel's clocks.
func (s *suspension) readKernel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := readBootOffset()
	if now.known && s.initial.known {
		s.total.Store(max(s.total.Load(), now.lower-s.initial.upper+s.simulated))
	}
}

// bootOffset bounds how far CLOCK_BOOTTIME was ahead of CLOCK_MONOTONIC. The two can't be read
// atomically; a thread that is delayed between the readings gets wider bounds.
type bootOffset struct {
	lower, upper int64 // ns
	known        bool  // false if the kernel lacks the clocks; Instants then count as the runtime does
}

// Limits of readBootOffset.
const (
	maxOffsetReads  = 3
	goodOffsetWidth = 50 * time.Microsecond // narrower bounds are not read again
)

// readBootOffset reads the offset up to maxOffsetReads times, until its bounds are narrow, and returns
// the narrowest.
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

// SuspendedTime returns the total time for which the machine was suspended since the process started.
func SuspendedTime() time.Duration {
	machineSuspension.readKernel()
	return time.Duration(machineSuspension.total.Load())
}

// SimulateSuspension makes Instants count as if the machine had been suspended for d. It is for
// tests, where synctest's fake clock has no suspension.
func SimulateSuspension(d time.Duration) {
	machineSuspension.mu.Lock()
	defer machineSuspension.mu.Unlock()
	machineSuspension.simulated += int64(d)
	machineSuspension.total.Add(int64(d))
}
