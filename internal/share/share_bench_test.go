package share_test

import (
	"testing"
	"time"

	"quaybarrow/internal/share"
)

// BenchmarkAdmit measures what each request costs while shares are on.
func BenchmarkAdmit(b *testing.B) {
	s := newRig(1, plain).hosts[0]
	c := class("w0", 1)
	s.Responded(rigService, share.Response{Occupancy: 0.9})
	for b.Loop() {
		s.Admit(rigService, c, time.Millisecond)
	}
}
