package follow_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/follow"
	"quaybarrow/internal/standin/memnet"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/internal/store"
	"quaybarrow/platform"
	"quaybarrow/platform/standin"
)

// recordingReplica records the calls of a follower.
type recordingReplica struct {
	mu              sync.Mutex
	rows            map[string]string
	deletedInOutage []string // deleted with afterOutage set
	resets          int
	confirmed       time.Time
}

func (p *recordingReplica) Reset(rows []store.Row, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets++
	p.rows = map[string]string{}
	for _, r := range rows {
		p.rows[r.Key] = string(r.Value)
	}
}

func (p *recordingReplica) Change(changes []store.Change, afterOutage bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		if c.Deleted {
			delete(p.rows, c.Key)
			if afterOutage {
				p.deletedInOutage = append(p.deletedInOutage, c.Key)
			}
			continue
		}
		p.rows[c.Key] = string(c.Value)
	}
}

func (p *recordingReplica) Confirm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmed = time.Now()
}

func (p *recordingReplica) get(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[key]
}

const address = "10.9.0.1:80"

// resetsAndDeletions returns the number of resets and the keys that were deleted with afterOutage set.
func (p *recordingReplica) resetsAndDeletions() (resets int, deletedInOutage []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resets, p.deletedInOutage
}

// withFollower runs body while a follower follows table t.
func withFollower(body func(s *standin.Store, p *recordingReplica)) {
	suite.Paused(func() {
		network, s, p := memnet.New(), standin.NewStore(), &recordingReplica{}
		server := &http.Server{Handler: s}
		l := network.Listen(address)
		go func() { _ = server.Serve(l) }()
		ctx, cancel := context.WithCancel(context.Background())
		s.Put("t", "a", []byte("1"))
		client := platform.NewStore(address, network.Dial)
		go follow.Run(ctx, follow.Options{Watch: client, Table: "t", Logger: log.New(io.Discard)}, p)
		time.Sleep(100 * time.Millisecond)
		body(s, p)
		cancel()
		s.SetFault(standin.Healthy)
		_ = server.Close()
		time.Sleep(5 * time.Minute)
	})
}

// recoveryBound is the time within which a change has to be visible after the store recovers. The
// platform's tightest bound on a configuration is two seconds after three seconds of contact.
const recoveryBound = 2900 * time.Millisecond

// outages are the ways in which the store is unavailable.
var outages = map[string]standin.Fault{
	"busy": standin.Busy, "limited": standin.Limited, "silent": standin.Silent,
}

var _ = Describe("a follower", func() {
	It("reads the table and then receives its changes immediately", func() {
		withFollower(func(s *standin.Store, p *recordingReplica) {
			Expect(p.get("a")).To(Equal("1"))
			s.Put("t", "a", []byte("2"))
			s.Put("t", "b", []byte("3"))
			time.Sleep(10 * time.Millisecond)
			Expect(p.get("a")).To(Equal("2"))
			Expect(p.get("b")).To(Equal("3"))
			s.Delete("t", "a")
			time.Sleep(10 * time.Millisecond)
			Expect(p.get("a")).To(BeEmpty())
			_, deletedInOutage := p.resetsAndDeletions()
			Expect(deletedInOutage).To(BeEmpty())
		})
	})

	for name, fault := range outages {
		for _, length := range []time.Duration{time.Second, 4 * time.Second, 30 * time.Second} {
			It("is current again soon after the store was "+name+" for "+length.String(), func() {
				withFollower(func(s *standin.Store, p *recordingReplica) {
					time.Sleep(time.Second)
					s.SetFault(fault)
					s.Put("t", "a", []byte("2"))
					time.Sleep(length)
					s.SetFault(standin.Healthy)
					time.Sleep(recoveryBound)
					Expect(p.get("a")).To(Equal("2"))
				})
			})
		}
	}

	It("reports rows that were deleted while the store was unavailable", func() {
		withFollower(func(s *standin.Store, p *recordingReplica) {
			s.SetFault(standin.Busy)
			time.Sleep(4 * time.Second)
			s.Delete("t", "a")
			s.SetFault(standin.Healthy)
			time.Sleep(recoveryBound)
			_, deletedInOutage := p.resetsAndDeletions()
			Expect(deletedInOutage).To(Equal([]string{"a"}))
		})
	})

	It("reads the whole table when the history is gone", func() {
		withFollower(func(s *standin.Store, p *recordingReplica) {
			s.SetFault(standin.DropFeedEvents)
			s.Put("t", "a", []byte("2"))
			s.Compact()
			s.SetFault(standin.Healthy)
			time.Sleep(10 * time.Millisecond)
			Expect(p.get("a")).To(Equal("2"))
			resets, _ := p.resetsAndDeletions()
			Expect(resets).To(Equal(2))
		})
	})

	It("makes few calls while nothing changes or the store is unavailable", func() {
		withFollower(func(s *standin.Store, _ *recordingReplica) {
			time.Sleep(time.Minute)
			Expect(s.Feeds()).To(BeNumerically("<=", 21))
			before := s.Feeds()
			s.SetFault(standin.Busy)
			time.Sleep(time.Minute)
			Expect(s.Feeds() - before).To(BeNumerically("<=", 130))
		})
	})
})
