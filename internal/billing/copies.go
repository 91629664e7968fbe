package billing

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/batch"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/membership"
	"quaybarrow/internal/peer"
)

// Limits of the messages to holders.
const (
	maxBatch    = 100
	holdTimeout = 2 * time.Second
	avoidHolder = 5 * time.Second // after it failed
)

// holder is another host that keeps copies of this host's open bills.
type holder struct {
	member membership.Member
	send   *batch.Batcher[*Entry]
	turn   sync.Mutex // one message at a time, so that none overtakes another

	// Guarded by Ledger.mu.
	closed []string      // ids to tell as closed
	known  int           // copies it should have
	avoid  clock.Instant // not to be chosen before
}

// Holders picks the hosts that keep copies of a host's bills: in other data
// halls, and in two different ones where there are two.
func Holders(view membership.View, avoided func(host string) bool) []membership.Member {
	self, _ := view.Member(view.Self)
	var elsewhere, here []membership.Member
	for _, m := range membership.Rank(view.Others(), view.Self) {
		switch {
		case m.State != membership.StateLive || avoided(m.Host):
		case m.DataHall == self.DataHall:
			here = append(here, m)
		default:
			elsewhere = append(elsewhere, m)
		}
	}
	chosen := distinctHalls(elsewhere)
	for _, m := range append(elsewhere, here...) {
		if len(chosen) >= copies {
			break
		}
		if !contains(chosen, m.Host) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// distinctHalls takes the first member of each data hall, at most as many as
// there are copies.
func distinctHalls(members []membership.Member) []membership.Member {
	var chosen []membership.Member
	halls := map[string]bool{}
	for _, m := range members {
		if len(chosen) < copies && !halls[m.DataHall] {
			halls[m.DataHall] = true
			chosen = append(chosen, m)
		}
	}
	return chosen
}

func contains(members []membership.Member, host string) bool {
	for _, m := range members {
		if m.Host == host {
			return true
		}
	}
	return false
}

// holderRounds bounds how often other holders are looked for when some fail.
const holderRounds = 3

// copyOut sends an open bill to hosts until two hold it; it returns how many do.
func (l *Ledger) copyOut(ctx context.Context, e *Entry) int {
	for range holderRounds {
		holders := l.chooseHolders(e)
		if len(holders) == 0 {
			break
		}
		var wait sync.WaitGroup
		for _, h := range holders {
			wait.Go(func() { _ = h.send.Do(ctx, e) })
		}
		wait.Wait()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.holders)
}

// chooseHolders returns the hosts that should hold the entry and do not yet.
func (l *Ledger) chooseHolders(e *Entry) []*holder {
	e.mu.Lock()
	has := append([]string(nil), e.holders...)
	e.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	members := Holders(l.options.View(), func(host string) bool {
		h := l.holders[host]
		return h != nil && now.Before(h.avoid)
	})
	var chosen []*holder
	for _, m := range members {
		if len(has)+len(chosen) >= copies {
			break
		}
		if !containsName(has, m.Host) {
			chosen = append(chosen, l.holderLocked(m))
		}
	}
	return chosen
}

func containsName(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// holderLocked finds or makes the holder of a member; the caller holds mu.
func (l *Ledger) holderLocked(m membership.Member) *holder {
	if h, ok := l.holders[m.Host]; ok {
		h.member = m
		return h
	}
	h := &holder{member: m}
	h.send = batch.New(maxBatch, func(ctx context.Context, entries []*Entry) error {
		return l.tell(ctx, h, entries)
	})
	l.holders[m.Host] = h
	return h
}

// tell sends entries, new or changed, and closed ids to a holder.
func (l *Ledger) tell(ctx context.Context, h *holder, entries []*Entry) error {
	h.turn.Lock()
	defer h.turn.Unlock()
	l.mu.Lock()
	message := peer.Hold{
		Owner: l.options.Host, Incarnation: l.options.Incarnation, Address: l.options.Address,
		Closed: h.closed, Known: h.known,
	}
	h.closed = nil
	address := h.member.Address
	l.mu.Unlock()
	for _, e := range entries {
		data, err := codec.Encode(e.Bill())
		if err != nil {
			return err
		}
		message.Open = append(message.Open, data)
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	if err := l.options.Link.Hold(ctx, address, message); err != nil {
		l.lost(h, message.Closed, errors.Is(err, peer.ErrRefused))
		return err
	}
	l.keptBy(h, entries)
	return nil
}

// keptBy notes that a holder has the entries. One that ended while the message
// was under way is told as closed with the next.
func (l *Ledger) keptBy(h *holder, entries []*Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		e.mu.Lock()
		if !containsName(e.holders, h.member.Host) {
			e.holders = append(e.holders, h.member.Host)
			h.known++
		}
		if _, open := l.open[e.bill.OpeningID]; !open {
			h.closed = append(h.closed, e.bill.OpeningID)
			h.known--
		}
		e.mu.Unlock()
	}
}

// lost notes that a holder could not be told. Its copies no longer count; what
// it still has is put right when it answers again, or by its own sweep.
func (l *Ledger) lost(h *holder, closed []string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.known = 0
	if !refused {
		h.avoid = clock.Now().Add(avoidHolder)
		h.closed = append(closed, h.closed...)
	}
	if len(h.closed) > l.options.Limit {
		h.closed = nil
	}
	for _, e := range l.open {
		e.mu.Lock()
		for i, name := range e.holders {
			if name == h.member.Host {
				e.holders = append(e.holders[:i:i], e.holders[i+1:]...)
				break
			}
		}
		e.mu.Unlock()
	}
}

// keepalive tells every holder what changed and finds new holders for entries
// that lost one.
func (l *Ledger) keepalive(ctx context.Context) {
	changed, bare := l.collect()
	var wait sync.WaitGroup
	for h, entries := range changed {
		wait.Go(func() {
			for len(entries) > maxBatch {
				if l.tell(ctx, h, entries[:maxBatch]) != nil {
					return
				}
				entries = entries[maxBatch:]
			}
			_ = l.tell(ctx, h, entries)
		})
	}
	wait.Wait()
	for _, e := range bare {
		wait.Go(func() { l.copyOut(ctx, e) })
	}
	wait.Wait()
}

// collect lists, by holder, the entries that changed since it was told, and the
// entries with too few holders.
func (l *Ledger) collect() (map[*holder][]*Entry, []*Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := map[*holder][]*Entry{}
	var bare []*Entry
	for _, h := range l.holders {
		if h.known > 0 || len(h.closed) > 0 && clock.Now().After(h.avoid) {
			changed[h] = nil
		}
	}
	for _, e := range l.open {
		e.mu.Lock()
		if e.dirty {
			for _, name := range e.holders {
				h := l.holders[name]
				changed[h] = append(changed[h], e)
			}
			e.dirty = false
		}
		if len(e.holders) < copies && !e.bill.Intent {
			bare = append(bare, e)
		}
		e.mu.Unlock()
	}
	return changed, bare
}
