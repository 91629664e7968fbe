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

// picture records what a follower tells.
type picture struct {
	mu        sync.Mutex
	rows      map[string]string
	lapsed    []string // deleted while the store was away
	resets    int
	confirmed time.Time
}

func (p *picture) Reset(rows []store.Row, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets++
	p.rows = map[string]string{}
	for _, r := range rows {
		p.rows[r.Key] = string(r.Value)
	}
}

func (p *picture) Change(changes []store.Change, away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		if c.Deleted {
			delete(p.rows, c.Key)
			if away {
				p.lapsed = append(p.lapsed, c.Key)
			}
			continue
		}
		p.rows[c.Key] = string(c.Value)
	}
}

func (p *picture) Confirm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmed = time.Now()
}

func (p *picture) get(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rows[key]
}

const address = "10.9.0.1:80"

// told returns how often the table was read whole, and what lapsed.
func (p *picture) told() (resets int, lapsed []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resets, p.lapsed
}

// following runs a body beside a follower of table t.
func following(body func(s *standin.Store, p *picture)) {
	suite.Paused(func() {
		network, s, p := memnet.New(), standin.NewStore(), &picture{}
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
		s.Break(standin.Healthy)
		_ = server.Close()
		time.Sleep(5 * time.Minute)
	})
}

// settle is what a change may take to be seen once the store is well; the
// platform's tightest bound on a configuration is two seconds after three of
// contact.
const settle = 2900 * time.Millisecond

// outages are ways in which the store is away.
var outages = map[string]standin.Fault{
	"busy": standin.Busy, "limited": standin.Limited, "silent": standin.Silent,
}

var _ = Describe("a follower", func() {
	It("reads the table and then its changes at once", func() {
		following(func(s *standin.Store, p *picture) {
			Expect(p.get("a")).To(Equal("1"))
			s.Put("t", "a", []byte("2"))
			s.Put("t", "b", []byte("3"))
			time.Sleep(10 * time.Millisecond)
			Expect(p.get("a")).To(Equal("2"))
			Expect(p.get("b")).To(Equal("3"))
			s.Drop("t", "a")
			time.Sleep(10 * time.Millisecond)
			Expect(p.get("a")).To(BeEmpty())
			_, lapsed := p.told()
			Expect(lapsed).To(BeEmpty())
		})
	})

	for name, fault := range outages {
		for _, length := range []time.Duration{time.Second, 4 * time.Second, 30 * time.Second} {
			It("is right again soon after the store was "+name+" for "+length.String(), func() {
				following(func(s *standin.Store, p *picture) {
					time.Sleep(time.Second)
					s.Break(fault)
					s.Put("t", "a", []byte("2"))
					time.Sleep(length)
					s.Break(standin.Healthy)
					time.Sleep(settle)
					Expect(p.get("a")).To(Equal("2"))
				})
			})
		}
	}

	It("tells what vanished while the store was away", func() {
		following(func(s *standin.Store, p *picture) {
			s.Break(standin.Busy)
			time.Sleep(4 * time.Second)
			s.Drop("t", "a")
			s.Break(standin.Healthy)
			time.Sleep(settle)
			_, lapsed := p.told()
			Expect(lapsed).To(Equal([]string{"a"}))
		})
	})

	It("reads the table whole when the history is gone", func() {
		following(func(s *standin.Store, p *picture) {
			s.Break(standin.LoseFeed)
			s.Put("t", "a", []byte("2"))
			s.Forget()
			s.Break(standin.Healthy)
			time.Sleep(10 * time.Millisecond)
			Expect(p.get("a")).To(Equal("2"))
			resets, _ := p.told()
			Expect(resets).To(Equal(2))
		})
	})

	It("makes few calls while nothing changes, and few while the store is away", func() {
		following(func(s *standin.Store, _ *picture) {
			time.Sleep(time.Minute)
			Expect(s.Feeds()).To(BeNumerically("<=", 21))
			before := s.Feeds()
			s.Break(standin.Busy)
			time.Sleep(time.Minute)
			Expect(s.Feeds() - before).To(BeNumerically("<=", 130))
		})
	})
})
