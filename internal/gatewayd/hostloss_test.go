package gatewayd_test

import (
	"strings"
	"time"

	"quaybarrow/internal/standin/memnet"
)

// hostLoss is what happens to the hosts that are lost.
type hostLoss int

const (
	hostsKilled hostLoss = iota // together, and started again later
	hostsInTurn                 // killed one each second, and started again at once
	hostsCut                    // from all others, callers excepted
	hostsApart                  // from the other hosts; they reach endpoints and the store
	hostsReset                  // the same, and links to other hosts are reset and refused instead of silent
)

// lose has hosts and endpoints of a scenario be lost, and hosts come back.
func (r *crashRig) lose(d fallScenario) {
	machines := r.machinesOf(d.service())
	for _, m := range machines[:d.lostEndpoints] {
		m.Crash()
	}
	if d.loss != hostsInTurn && !d.crashes {
		r.loseHosts(d, true)
		time.Sleep(fallReturn - fallLoss)
		r.loseHosts(d, false)
		return
	}
	for i := range int((fallRunEnd - fallLoss) / time.Second) {
		if d.crashes {
			machines[i%len(machines)].Crash()
		}
		if d.lostHosts > 0 {
			h := r.hosts[i%d.lostHosts]
			h.kill()
			time.Sleep(time.Second)
			h.start()
			continue
		}
		time.Sleep(time.Second)
	}
}

// loseHosts has the first hosts of a scenario be lost, or come back.
func (r *crashRig) loseHosts(d fallScenario, lost bool) {
	for _, h := range r.hosts[:d.lostHosts] {
		switch {
		case d.loss == hostsKilled && lost:
			h.kill()
		case d.loss == hostsKilled:
			h.start()
		default:
			h.cut(lost, d.loss)
		}
	}
}

// cut cuts the host from the other hosts, or joins it again; if it loses all links, also from endpoints and
// the store.
func (h *crashHost) cut(cut bool, loss hostLoss) {
	state := memnet.LinkUp
	if cut && loss == hostsReset {
		state = memnet.LinkReset
	} else if cut {
		state = memnet.LinkSilent
	}
	h.link.Set(state, func(address string) bool { return loss == hostsCut || strings.HasPrefix(address, hostAddresses) })
	for _, port := range []int{81, 82, 83} {
		if loss == hostsReset {
			h.rig.net.Cut(h.address(port), cut)
			continue
		}
		h.rig.net.Darken(h.address(port), cut)
		if cut {
			h.rig.net.Silence(h.address(port))
		}
	}
}
