package ratelimit_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/ratelimit"
	"quaybarrow/internal/standin/suite"
)

// Sizes of a simulation of places: six endpoints, as few as the plain services of large deployments have.
const (
	placeEndpoints  = 6
	placeSlots      = 6
	placeWaiting    = 2 // requests that an endpoint lets wait
	placeSurvives   = 4
	placeWork       = 60 * time.Millisecond
	placeLoad       = 1.5 // of what the endpoints take
	placePatience   = 60 * time.Millisecond
	placePoll       = 25 * time.Millisecond
	placeSimLength  = 12 * time.Second
	placeFaultStart = 3 * time.Second
)

// placeSim is a simulation in which hosts send requests to endpoints with places only.
type placeSim struct {
	*simulation
	mu        sync.Mutex // guards all below
	endpoints [placeEndpoints]placeEndpoint
	served    int
	refused   int
}

// placeEndpoint is an endpoint that rejects what finds no room.
type placeEndpoint struct {
	occupied int
	rejected []clock.Instant
}

// TakePlace implements ratelimit.PlaceClient.
func (h *simHost) TakePlace(ctx context.Context, address string, r ratelimit.PlaceRequest) (ratelimit.PlaceReply, error) {
	limiter, err := h.connect(ctx, address)
	if err != nil {
		return ratelimit.PlaceReply{}, err
	}
	reply := limiter.HandleTakePlace(ctx, r)
	if !clock.Sleep(ctx, linkDelay) {
		return ratelimit.PlaceReply{}, errSilent
	}
	if _, _, cut := h.state(); cut {
		<-ctx.Done()
		return ratelimit.PlaceReply{}, errSilent
	}
	return reply, nil
}

// ReturnPlace implements ratelimit.PlaceClient.
func (h *simHost) ReturnPlace(ctx context.Context, address string, r ratelimit.PlaceReturn) error {
	limiter, err := h.connect(ctx, address)
	if err == nil {
		limiter.HandleReturnPlace(r)
	}
	return err
}

// arrive handles a request at an endpoint, and reports whether it found room and how many are there then.
func (s *placeSim) arrive(endpoint int) (room bool, occupied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &s.endpoints[endpoint]
	if e.occupied >= placeSlots+placeWaiting {
		e.rejected = append(e.rejected, clock.Now())
		return false, e.occupied
	}
	e.occupied++
	return true, e.occupied
}

func (s *placeSim) depart(endpoint int) (occupied int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints[endpoint].occupied--
	return s.endpoints[endpoint].occupied
}

// request sends a request of a host's caller to the first endpoint that has a place.
func (s *placeSim) request(h *simHost, first int) {
	h.mu.Lock()
	limiter := h.limiter
	h.mu.Unlock()
	for began := clock.Now(); clock.Since(began) < placePatience; clock.Sleep(context.Background(), placePoll) {
		for i := range 3 {
			endpoint := (first + i) % placeEndpoints
			place, _, _ := limiter.TakePlace(context.Background(), ratelimit.PlaceRequest{Endpoint: endpointName(endpoint), Survives: placeSurvives, Slots: placeSlots})
			if place == nil {
				continue
			}
			s.send(place, endpoint)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
}

// send sends a request with a place.
func (s *placeSim) send(place *ratelimit.Place, endpoint int) {
	time.Sleep(linkDelay)
	room, occupied := s.arrive(endpoint)
	if !room {
		place.Return(ratelimit.PlaceRejected, ratelimit.PlaceReport{Occupied: occupied, Slots: placeSlots})
		return
	}
	time.Sleep(placeWork)
	place.Return(ratelimit.PlaceFreed, ratelimit.PlaceReport{Occupied: s.depart(endpoint), Slots: placeSlots})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served++
}

// worst returns the most rejections of an endpoint within a second.
func (s *placeSim) worst() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	worst := 0
	for _, e := range s.endpoints {
		slices.SortFunc(e.rejected, clock.Instant.Compare)
		for i, at := range e.rejected {
			n := 0
			for _, other := range e.rejected[i:] {
				if other.Sub(at) < time.Second {
					n++
				}
			}
			worst = max(worst, n)
		}
	}
	return worst
}

// playPlaces plays a simulation and returns the worst second of an endpoint and the part of what the
// endpoints can serve that was served.
func playPlaces(p scenario) (worst int, share float64) {
	s := &placeSim{simulation: newSimulation(p)}
	capacity := placeEndpoints * placeSlots / placeWork.Seconds()
	var work sync.WaitGroup
	s.injectPlaceFaults(&work)
	for began := clock.Now(); clock.Since(began) < placeSimLength; time.Sleep(clock.Seconds(1 / (placeLoad * capacity))) {
		h := s.simHosts[int(s.draw()*float64(len(s.simHosts)))]
		first := int(s.draw() * placeEndpoints)
		if _, down, _ := h.state(); !down {
			work.Go(func() { s.request(h, first) })
		}
	}
	work.Wait()
	worst, share = s.worst(), float64(s.served)/(capacity*placeSimLength.Seconds())
	s.stop()
	time.Sleep(time.Second) // until the last places have been returned
	return worst, share
}

// injectPlaceFaults kills, or cuts off, the owner of an endpoint each second; or cuts off all hosts at once.
func (s *placeSim) injectPlaceFaults(work *sync.WaitGroup) {
	if s.cutAll {
		for _, h := range s.simHosts {
			work.Go(func() {
				time.Sleep(placeFaultStart)
				s.cutOne(h)
			})
		}
		return
	}
	for at := placeFaultStart; at < placeSimLength; at += time.Second {
		h := s.nextTarget()
		work.Go(func() {
			time.Sleep(at)
			switch {
			case s.killEvery > 0:
				s.killOne(h)
			case s.cutEvery > 0:
				s.cutOne(h)
			}
		})
	}
}

var _ = Describe("rejections of endpoints of which all hosts take places", func() {
	for _, hosts := range []int{1, 6, 30, 300, 984} {
		It(fmt.Sprintf("stay within what one survives in a second, with %d hosts", hosts), func() {
			for name, p := range map[string]scenario{
				"calm":          {},
				"owners killed": {killEvery: time.Second},
				"owners apart":  {cutEvery: time.Second},
				"all apart":     {cutAll: true},
			} {
				suite.Paused(func() {
					p.strategy, p.hosts, p.seed, p.targetLenders, p.limitedEndpoints = lending, hosts, 11, true, placeEndpoints
					worst, share := playPlaces(p)
					GinkgoWriter.Printf("%d hosts, %s: %d rejections in the worst second, %.2f served\n", hosts, name, worst, share)
					Expect(worst).To(BeNumerically("<=", placeSurvives), name)
				})
			}
		})
	}
})

var _ = Describe("a simulation of hosts", func() {
	It("may kill a host at the instant at which it is started again", func() {
		suite.Paused(func() {
			for range 100 {
				s := newSimulation(scenario{strategy: lending, hosts: 1})
				var work sync.WaitGroup
				for kills := range 3 {
					work.Go(func() {
						time.Sleep(time.Duration(kills) * faultDuration)
						s.killOne(s.simHosts[0])
					})
				}
				work.Wait()
				s.stop()
			}
		})
	})
})
