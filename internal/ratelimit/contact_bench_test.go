package ratelimit

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/telemetry"
)

// absentPeers are hosts that do not answer.
type absentPeers struct{}

// Borrow implements PeerClient.
func (absentPeers) Borrow(context.Context, string, Request) (Reply, error) {
	return Reply{}, errors.New("no answer")
}

// SendNews implements PeerClient.
func (absentPeers) SendNews(context.Context, string, News) error { return errors.New("no answer") }

// FetchNews implements PeerClient.
func (absentPeers) FetchNews(context.Context, string) (News, error) {
	return News{}, errors.New("no answer")
}

// BenchmarkCheckContact measures a round of questions of a host that is cut off from 983 others and counts the
// places of 100 endpoints by itself. It took 90 ms when the hosts were sorted anew for each endpoint and those that
// did not answer were collected for each, and takes 4.5.
func BenchmarkCheckContact(b *testing.B) {
	var list []Member
	for i := range 983 {
		list = append(list, Member{Name: fmt.Sprint("host-", i), Address: fmt.Sprint(i)})
	}
	l := NewLimiter(Options{
		Host: "counting", Fleet: fleet.New(fleet.Options{}), Members: func() []Member { return list }, MembersKnown: func() bool { return true },
		Peers: absentPeers{}, Telemetry: telemetry.MetricsOnly(), Logger: log.New(io.Discard),
	})
	for b.Loop() {
		for i := range 100 {
			l.places.take(PlaceRequest{Endpoint: fmt.Sprint("e", i), Survives: 4, Slots: 6}, false, clock.Now())
		}
		l.checkContact(b.Context())
	}
}
