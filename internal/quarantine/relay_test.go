package quarantine

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/charmbracelet/log"
)

// unreachablePeers is a client whose messages are lost.
type unreachablePeers struct{}

// Tell implements PeerClient.
func (unreachablePeers) Tell(context.Context, string, Update) (Update, error) {
	return Update{}, context.Canceled
}

// TestGroupsAreAlikeForAllHosts computes the groups at each host of deployments of many sizes. Every
// other host must be in exactly one group, and a host that is alone in its group must be able to
// broadcast too.
func TestGroupsAreAlikeForAllHosts(t *testing.T) {
	for count := maxDirectPeers + 2; count < 130; count++ {
		groupOf := map[string]string{}
		for i := range count {
			name := fmt.Sprintf("host-%03d", i)
			var members []Member
			for j := 1; j < count; j++ {
				other := fmt.Sprintf("host-%03d", (i+j)%count)
				members = append(members, Member{Name: other, Address: other})
			}
			b := NewTracker(Options{Host: name, Members: func() []Member { return members }, Peers: unreachablePeers{}, Logger: log.New(io.Discard)})
			own, others := b.relayGroups()
			known := len(own)
			for _, g := range others {
				known += len(g)
			}
			if known != count-1 {
				t.Fatalf("%d hosts: the groups of %s have %d other hosts", count, name, known)
			}
			first := name
			if len(own) > 0 {
				first = min(first, own[0].Name)
			}
			groupOf[name] = first
			for _, m := range own {
				if g, ok := groupOf[m.Name]; ok && g != first {
					t.Fatalf("%d hosts: %s and %s disagree on their group", count, name, m.Name)
				}
			}
			b.broadcast(context.Background(), []Row{{Host: name}}, false)
		}
	}
}
