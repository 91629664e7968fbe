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

// Limits of messages to holders.
const (
	maxBatch         = 100
	holdTimeout      = 2 * time.Second
	holderRetryDelay = 5 * time.Second // before a holder that failed is chosen again
)

// holder is another host that keeps copies of this host's open bills.
type holder struct {
	member  membership.Member
	batcher *batch.Batcher[*Entry]
	sendMu  sync.Mutex // serializes messages, so that they arrive in order

	// Guarded by Ledger.mu.
	closedIDs      []string      // IDs of closed bills to report with the next message
	expectedCopies int           // number of copies that it should have
	avoidUntil     clock.Instant // not chosen before this time, after a failure
}

// ChooseHolders chooses the hosts that hold copies of this host's bills. It prefers other data
// halls, and two different ones if possible.
func ChooseHolders(view membership.View, avoided func(host string) bool) []membership.Member {
	self, _ := view.Member(view.Self)
	var otherHalls, sameHall []membership.Member
	for _, m := range membership.Rank(view.ReachableOthers(), view.Self) {
		switch {
		case m.State != membership.StateLive || avoided(m.Host):
		case m.DataHall == self.DataHall:
			sameHall = append(sameHall, m)
		default:
			otherHalls = append(otherHalls, m)
		}
	}
	chosen := onePerDataHall(otherHalls)
	for _, m := range append(otherHalls, sameHall...) {
		if len(chosen) >= copiesPerBill {
			break
		}
		if !containsHost(chosen, m.Host) {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// onePerDataHall returns the first member of each data hall, at most copiesPerBill in all.
func onePerDataHall(members []membership.Member) []membership.Member {
	var chosen []membership.Member
	seen := map[string]bool{}
	for _, m := range members {
		if len(chosen) < copiesPerBill && !seen[m.DataHall] {
			seen[m.DataHall] = true
			chosen = append(chosen, m)
		}
	}
	return chosen
}

func containsHost(members []membership.Member, host string) bool {
	for _, m := range members {
		if m.Host == host {
			return true
		}
	}
	return false
}

// maxReplicationRounds bounds the rounds of choosing other holders when some fail.
const maxReplicationRounds = 3

// replicate sends an open bill to other hosts until copiesPerBill hold it or the rounds are used
// up. It returns how many hold it.
func (l *Ledger) replicate(ctx context.Context, e *Entry) int {
	for range maxReplicationRounds {
		holders := l.missingHolders(e)
		if len(holders) == 0 {
			break
		}
		var wait sync.WaitGroup
		for _, h := range holders {
			wait.Go(func() { _ = h.batcher.Do(ctx, e) })
		}
		wait.Wait()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.holders)
}

// missingHolders returns the hosts that should hold a copy of the entry but do not yet.
func (l *Ledger) missingHolders(e *Entry) []*holder {
	e.mu.Lock()
	current := append([]string(nil), e.holders...)
	e.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	members := ChooseHolders(l.options.View(), func(host string) bool {
		h := l.holders[host]
		return h != nil && now.Before(h.avoidUntil)
	})
	var chosen []*holder
	for _, m := range members {
		if len(current)+len(chosen) >= copiesPerBill {
			break
		}
		if !containsString(current, m.Host) {
			chosen = append(chosen, l.holderLocked(m))
		}
	}
	return chosen
}

func containsString(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// holderLocked returns the holder of a member and creates it if needed; the caller holds mu.
func (l *Ledger) holderLocked(m membership.Member) *holder {
	if h, ok := l.holders[m.Host]; ok {
		h.member = m
		return h
	}
	h := &holder{member: m}
	h.batcher = batch.New(maxBatch, func(ctx context.Context, entries []*Entry) error {
		return l.sendUpdates(ctx, h, entries)
	})
	l.holders[m.Host] = h
	return h
}

// sendUpdates sends new or changed entries and the IDs of closed ones to a holder.
func (l *Ledger) sendUpdates(ctx context.Context, h *holder, entries []*Entry) error {
	h.sendMu.Lock()
	defer h.sendMu.Unlock()
	l.mu.Lock()
	message := peer.Hold{
		Owner: l.options.Host, Incarnation: l.options.Incarnation, Address: l.options.Address,
		Closed: h.closedIDs, Known: h.expectedCopies,
	}
	h.closedIDs = nil
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
		l.recordHolderFailure(h, message.Closed, errors.Is(err, peer.ErrRefused))
		return err
	}
	l.recordCopies(h, entries)
	return nil
}

// recordCopies records that a holder has copies of the entries. An entry that was closed while
// the message was in flight is reported as closed with the next message.
func (l *Ledger) recordCopies(h *holder, entries []*Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		e.mu.Lock()
		if !containsString(e.holders, h.member.Host) {
			e.holders = append(e.holders, h.member.Host)
			h.expectedCopies++
		}
		if _, open := l.open[e.bill.OpeningID]; !open {
			h.closedIDs = append(h.closedIDs, e.bill.OpeningID)
			h.expectedCopies--
		}
		e.mu.Unlock()
	}
}

// recordHolderFailure records that a message to a holder failed. Its copies no longer count.
// Copies that it still has are corrected when it answers again, or by its own sweep.
func (l *Ledger) recordHolderFailure(h *holder, closed []string, rejected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h.expectedCopies = 0
	if !rejected {
		h.avoidUntil = clock.Now().Add(holderRetryDelay)
		h.closedIDs = append(closed, h.closedIDs...)
	}
	if len(h.closedIDs) > l.options.Limit {
		h.closedIDs = nil
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

// syncHolders sends every holder the entries that changed and finds new holders for entries
// that lost one.
func (l *Ledger) syncHolders(ctx context.Context) {
	changed, underReplicated := l.entriesToSync()
	var wait sync.WaitGroup
	for h, entries := range changed {
		wait.Go(func() {
			for len(entries) > maxBatch {
				if l.sendUpdates(ctx, h, entries[:maxBatch]) != nil {
					return
				}
				entries = entries[maxBatch:]
			}
			_ = l.sendUpdates(ctx, h, entries)
		})
	}
	wait.Wait()
	for _, e := range underReplicated {
		wait.Go(func() { l.replicate(ctx, e) })
	}
	wait.Wait()
}

// entriesToSync returns, by holder, the entries that changed since the last message to it, and
// the entries with too few holders.
func (l *Ledger) entriesToSync() (map[*holder][]*Entry, []*Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := map[*holder][]*Entry{}
	var underReplicated []*Entry
	for _, h := range l.holders {
		if h.expectedCopies > 0 || len(h.closedIDs) > 0 && clock.Now().After(h.avoidUntil) {
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
		if len(e.holders) < copiesPerBill && !e.bill.Intent {
			underReplicated = append(underReplicated, e)
		}
		e.mu.Unlock()
	}
	return changed, underReplicated
}
