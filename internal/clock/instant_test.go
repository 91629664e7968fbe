package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"quaybarrow/internal/clock"
)

func TestInstantCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := clock.Now()
		time.Sleep(2 * time.Second)
		clock.SimulateSuspension(5 * time.Second)
		if since := clock.Since(before); since != 7*time.Second {
			t.Errorf("elapsed time is %v, want 7s", since)
		}
		if until := clock.Until(before.Add(10 * time.Second)); until != 3*time.Second {
			t.Errorf("remaining time is %v, want 3s", until)
		}
		if due := time.Until(before.Add(10 * time.Second).Time()); due != 3*time.Second {
			t.Errorf("timer is due in %v, want 3s", due)
		}
	})
}

func TestInstantWithoutSuspension(t *testing.T) {
	started, before := time.Now(), clock.Now()
	time.Sleep(20 * time.Millisecond)
	since, elapsed := clock.Since(before), time.Since(started)
	if since < 20*time.Millisecond || since > elapsed {
		t.Errorf("elapsed time is %v by instants, %v by the runtime", since, elapsed)
	}
	if suspended := clock.SuspendedTime(); clock.SuspendedTime() != suspended {
		t.Error("suspended time grows although the machine is running")
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}

// BenchmarkSuspended measures the cost of Now if it read the kernel's clocks each time.
func BenchmarkSuspended(b *testing.B) {
	for b.Loop() {
		clock.SuspendedTime()
	}
}
