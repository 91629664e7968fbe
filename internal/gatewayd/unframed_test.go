package gatewayd_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/memnet"
	"quaybarrow/platform/standin"
)

// unframedEvents is the number of events of each stream, and unframedSize that of bytes of each body.
const (
	unframedEvents = 8
	unframedSize   = 300
)

// unframedScenarios are runs in which no response states its length: it ends with its connection.
var unframedScenarios = map[string]struct {
	stream   standin.Stream // of one request in every
	every    uint64
	cutHosts int // hosts that reach no endpoint themselves
}{
	"whole":                         {},
	"one in eight ends in an event": {stream: standin.Stream{Events: unframedEvents, BreakAfter: 3}, every: 8},
	"one in eight ends in an event, half of the hosts relayed": {stream: standin.Stream{Events: unframedEvents, BreakAfter: 3}, every: 8, cutHosts: 2},
	"endpoints crash between two events":                       {stream: standin.Stream{Events: unframedEvents, CrashAfter: 3}, every: 150},
}

func TestAnswersThatEndWithTheirConnectionAreWholeOrReported(t *testing.T) {
	for name, d := range unframedScenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				r := newCrashRig(crashScenario{script: func(service string, q *http.Request) standin.Script {
					if service != "model" {
						return standin.Reply{Status: http.StatusOK, Body: strings.Repeat("x", unframedSize), Delay: 40 * time.Millisecond, Unsized: true}
					}
					s := standin.Stream{Events: unframedEvents}
					if d.every > 0 && q.Header.Get("Last-Event-Id") == "" && xxhash.Sum64String(standin.RequestID(q))%d.every == 0 {
						s = d.stream
					}
					s.Unsized, s.Gap, s.Confidence = true, 80*time.Millisecond, 100
					return s
				}})
				defer r.stop()
				for _, h := range r.hosts[:d.cutHosts] {
					h.link.Set(memnet.LinkReset, func(address string) bool {
						return strings.HasPrefix(address, modelEndpoints) || strings.HasPrefix(address, plainEndpoints)
					})
				}
				time.Sleep(contactTime)
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				calls := &unframedCalls{}
				for i := range crashCallers {
					r.calling.Go(func() { calls.call(ctx, r, i) })
				}
				r.calling.Wait()
				t.Logf("%d requests, %d whole, %d short that look whole, %d reported", calls.sent, calls.whole, calls.short, calls.sent-calls.whole-calls.short)
				Expect(calls.short).To(BeZero())
				Expect(float64(calls.whole) / float64(calls.sent)).To(BeNumerically(">=", minOthersServed))
				if d.stream.CrashAfter == 0 {
					Expect(r.log.text()).NotTo(ContainSubstring("endpoint crashed under a request"))
				}
			})
		})
	}
}

// unframedCalls counts the outcomes of requests.
type unframedCalls struct{ sent, whole, short int }

// call sends requests until ctx ends.
func (u *unframedCalls) call(ctx context.Context, r *crashRig, caller int) {
	for ctx.Err() == nil {
		path := "/stream/x"
		if caller%4 == 0 {
			path = "/again/x"
		}
		q := standin.NewRequest(http.MethodPost, path, fmt.Sprint("of caller ", caller)).WithID(r.nextID())
		if path == "/stream/x" {
			q = q.WithPrompt()
		}
		a := r.exchange(ctx, r.randomInt(len(r.hosts)), q)
		if ctx.Err() != nil {
			return
		}
		r.mu.Lock()
		u.sent++
		switch {
		case a.Err != nil || a.Status != http.StatusOK:
		case path == "/again/x" && len(a.Body) == unframedSize, path == "/stream/x" && hasAllEvents(a.Body):
			u.whole++
		default:
			u.short++
		}
		r.mu.Unlock()
		sleepFor(ctx, time.Duration(r.randomInt(200))*time.Millisecond)
	}
}

// hasAllEvents reports whether a body has the events of a stream, each once and in order.
func hasAllEvents(body string) bool {
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	for i, e := range events {
		if !strings.HasPrefix(e, fmt.Sprintf("id: %d\n", i+1)) {
			return false
		}
	}
	return len(events) == unframedEvents
}
