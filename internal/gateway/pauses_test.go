package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
)

// arrival is the time at which a number of events arrived together.
type arrival struct {
	at     time.Duration
	events int
}

var arrivals = map[string]struct {
	arrivals          []arrival
	shortest, longest time.Duration
}{
	"no events":                           {nil, 0, 0},
	"a single event":                      {[]arrival{{time.Second, 1}}, 0, 0},
	"separate events":                     {[]arrival{{0, 1}, {10 * time.Millisecond, 1}, {40 * time.Millisecond, 1}}, 10 * time.Millisecond, 30 * time.Millisecond},
	"delayed events that arrive together": {[]arrival{{0, 1}, {60 * time.Millisecond, 6}, {72 * time.Millisecond, 1}}, 10 * time.Millisecond, 60 * time.Millisecond},
	"a late start":                        {[]arrival{{5 * time.Second, 1}, {5*time.Second + 8*time.Millisecond, 1}}, 8 * time.Millisecond, 8 * time.Millisecond},
}

var _ = Describe("the pauses of a stream", func() {
	for name, a := range arrivals {
		It("with "+name, func() {
			p, start := &eventPauses{}, clock.Now()
			for _, c := range a.arrivals {
				p.add(start.Add(c.at), c.events)
			}
			Expect(p.shortest).To(Equal(a.shortest))
			Expect(p.longest).To(Equal(a.longest))
		})
	}
})
