package upgrade

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/codec"
	"quaybarrow/internal/store"
)

// refreshClock marks a read of the progress instead of a write; the read refreshes the bounds of
// the store's clock.
const refreshClock = "clock refresh"

// write is a transaction that is due.
type write struct {
	service, what string
	txn           store.Transaction
}

// dueWrites returns the transactions that this host is to write now.
func (t *Tracker) dueWrites() []write {
	t.mu.Lock()
	defer t.mu.Unlock()
	var writes []write
	now := clock.Now()
	for name, s := range t.services {
		if s.judgePending || s.overdue(now) {
			t.judge(s)
		}
		if s.finished() {
			continue
		}
		w, err := t.nextWrite(s, now)
		if err != nil {
			t.options.Logger.Error("upgrade can't be encoded", "service", name, "error", err)
			continue
		}
		if w.what != "" {
			w.service = name
			writes = append(writes, w)
		}
	}
	return writes
}

// nextWrite returns the write that is due for an upgrade; its what field is empty if there is none.
func (t *Tracker) nextWrite(s *serviceUpgrade, now clock.Instant) (write, error) {
	if !now.Before(s.nextWriteAt) {
		w, err := t.nextProgress(s, now)
		if err != nil || (w.what != "" && w.what != refreshClock) {
			s.nextWriteAt = now.Add(min(writeInterval, s.schedule.timeOf(writeIntervalFraction)))
			return w, err
		}
	}
	if !t.shouldPublish(s, now) {
		return write{}, nil
	}
	s.publishedAt = now
	return t.publish(s, now)
}

// publishingHosts is about how many hosts publish all evidence while nothing fails: more hosts add
// little information, and each write is read by all. The other hosts publish at failures only, not
// at slow answers, since the hosts that happen to see many would be taken as typical.
const publishingHosts = 24

// shouldPublish reports whether this host has evidence that the other hosts need.
func (t *Tracker) shouldPublish(s *serviceUpgrade, now clock.Instant) bool {
	seen, recent := targetTotal(s.own.Routes), targetTotal(s.recent.counts(now))
	s.publishedRecent = s.publishedRecent.atMost(recent)
	switch {
	case !s.restored: // publishing would overwrite the evidence of an earlier process of this host
		return false
	case s.progress.Stage == lastStage && recent.Bad > s.publishedRecent.Bad && !s.othersHaveFailed():
		return now.Sub(s.publishedAt) >= failurePublishInterval
	case now.Sub(s.publishedAt) < t.publishIntervalOf(s):
		return false
	case recent.Bad > s.publishedRecent.Bad && recent.Bad >= publishGrowth*s.publishedRecent.Bad:
		return true
	case s.targetHasFailed(), s.progress.Stage == lastStage && t.publishesGood(s):
		return seen != s.publishedTotal
	case !seen.grownSince(s.publishedTotal):
		return false
	case seen.Bad > s.publishedTotal.Bad:
		return true
	default:
		return t.publishesGood(s)
	}
}

// publishesGood reports whether this host is one of those that publish while nothing fails.
func (t *Tracker) publishesGood(s *serviceUpgrade) bool {
	hosts := uint64(max(t.options.Hosts(), 1))
	return xxhash.Sum64String(s.order.Service+"/"+t.options.Host)%hosts < publishingHosts
}

// publishIntervalOf returns the least time between this host's writes of evidence.
func (t *Tracker) publishIntervalOf(s *serviceUpgrade) time.Duration {
	every := publishInterval
	if s.progress.Stage == lastStage {
		every = lastStagePublishInterval
	}
	return max(every, time.Duration(t.options.Hosts())*publishIntervalPerHost)
}

// othersHaveFailed reports whether this host has seen failures of other versions. Then it publishes
// the target's failures no earlier than its good answers; otherwise a good version beside failing
// endpoints would look worse than it is.
func (s *serviceUpgrade) othersHaveFailed() bool {
	for _, p := range s.own.Routes {
		if p.OtherByEndpoint.failing() > 0 {
			return true
		}
	}
	return false
}

// targetHasFailed reports whether any host has seen a failure of the target. From then on all hosts
// publish all answers: hosts that published at failures only would overstate the failure rate.
func (s *serviceUpgrade) targetHasFailed() bool { return !s.firstFailureAt.IsZero() }

// nextProgress returns the write of the next step if it is due.
func (t *Tracker) nextProgress(s *serviceUpgrade, now clock.Instant) (write, error) {
	delay := t.writeDelay(s)
	switch {
	case !s.hasBegun():
		if now.Before(s.orderedAt.Add(delay)) {
			return write{}, nil
		}
		return t.begin(s)
	case t.namesVersionInUse(s):
		return t.closeInUse(s, s.progress)
	case s.rejectReason != "":
		return t.finish(s, OutcomeRolledBack, s.rejectReason)
	}
	storeTime, ok := t.options.Watch.Now()
	if !ok || t.options.Fleet.Versions(s.order.Service)[s.order.Target] == 0 {
		return write{}, nil
	}
	return t.advance(s, storeTime, delay)
}

// advance returns the next write of an upgrade in progress if it is due and the judgement allows
// it.
func (t *Tracker) advance(s *serviceUpgrade, storeTime clock.Bounds, delay time.Duration) (write, error) {
	done := s.progress.CompletionDue(storeTime.Minus(s.schedule.completionDelay(delay, t.longestWriteDelay())), s.schedule)
	rises := s.progress.NextStageDue(s.progress.elapsedAt(storeTime)-delay, s.schedule)
	if !done && !rises && s.progress.Stage < lastStage {
		return write{}, nil
	}
	j := t.judgement(s)
	switch {
	case s.progress.Stage+1 >= lastStage && j.MayBeBad():
		// This comes before all keys go to the target; otherwise retried requests would take it
		// over its bound on exposure.
		return t.finish(s, OutcomeRolledBack, reasonMayBeBad)
	case done && s.progress.overtime(storeTime) && (j.LikelyBad() || j.Disproved()):
		return t.finish(s, OutcomeRolledBack, reasonUnproved)
	case !done && !rises:
		return write{}, nil
	case j.Verdict != VerdictClear:
		return write{}, nil
	case done:
		return t.complete(s, j, storeTime)
	default:
		return t.raiseShare(s, j, storeTime)
	}
}

// complete returns the write of a completion that is due, if the answers of the last stage allow it.
func (t *Tracker) complete(s *serviceUpgrade, j Judgement, now clock.Bounds) (write, error) {
	if s.lastStageAnswers == 0 || j.LikelyBad() {
		return write{}, nil
	}
	if !j.ProvedUnderLoad(s.progress.provedThreshold(now, s.schedule) / 2) { // confirmClear requires the rest of newer evidence
		t.logUnproved(s, j)
		return write{}, nil
	}
	return t.finish(s, OutcomeCompleted, "")
}

// logUnproved logs that the completion of an upgrade waits for answers under load, once.
func (t *Tracker) logUnproved(s *serviceUpgrade, j Judgement) {
	if s.unprovedLogged {
		return
	}
	s.unprovedLogged = true
	fields := []any{"service", s.order.Service, "target", s.order.Target, "hosts", len(s.others) + 1}
	t.options.Logger.Info("completion waits for answers under load", append(fields, j.fields()...)...)
}

// raiseShare returns the write that gives the target its next share.
func (t *Tracker) raiseShare(s *serviceUpgrade, j Judgement, now clock.Bounds) (write, error) {
	p := s.progress
	p.Stage++
	late := p.lateness(s.schedule)
	begins := s.schedule.StageStart(p.Stage, p.elapsedAt(clock.Bounds{Earliest: now.Latest, Latest: now.Latest})+late, j.Seen) - late
	p.StageMs = p.StartMs + ceilMs(begins)
	fields := []any{"service", s.order.Service, "target", s.order.Target, "stage", p.Stage, "begins_ms", begins.Milliseconds(), "hosts", len(s.others) + 1}
	t.options.Logger.Info("evidence for a larger share", append(fields, j.fields()...)...)
	return t.progressWrite(s, p, "share raised")
}

// writeDelay returns how long this host leaves a step to the others: none for about one host,
// and a delay that grows with the logarithm of the host's position for the rest. Timers spread this
// way limit the number of responses to a multicast (Nonnenmacher and Biersack, "Scalable feedback
// for large groups", 1999).
func (t *Tracker) writeDelay(s *serviceUpgrade) time.Duration {
	place := float64(xxhash.Sum64String(t.options.Host+"/"+s.order.Service)) / math.MaxUint64
	before := place * float64(max(t.options.Hosts(), 1))
	if before <= 1 {
		return 0
	}
	return time.Duration(math.Log2(before) * float64(delayPerDoubling))
}

// longestWriteDelay returns the upper bound of all hosts' write delays.
func (t *Tracker) longestWriteDelay() time.Duration {
	return time.Duration(math.Log2(float64(max(t.options.Hosts(), 1))) * float64(delayPerDoubling))
}

// begin returns the write that starts the upgrade.
func (t *Tracker) begin(s *serviceUpgrade) (write, error) {
	now, ok := t.options.Watch.Now()
	if !ok {
		return write{}, nil
	}
	if now.Width() > maxClockWidth && !s.clockRefreshed {
		s.clockRefreshed = true
		return write{what: refreshClock}, nil
	}
	ends := now.Earliest - clock.Since(s.orderedAt) + s.order.Within
	p := Progress{
		Revision: s.order.Revision, Target: s.order.Target, Base: t.baseVersion(s.order.Service, s),
		StartMs: ceilMs(now.Latest), EndMs: ends.Milliseconds(), Outcome: OutcomeRunning,
	}
	if t.namesVersionInUse(s) {
		return t.closeInUse(s, p)
	}
	return t.progressWrite(s, p, "begun")
}

// reasonInUse is the reason for completing an order without a trial.
const reasonInUse = "the service has the version already"

// closeInUse returns the write that completes an order for the version in use.
func (t *Tracker) closeInUse(s *serviceUpgrade, p Progress) (write, error) {
	p.Base, p.Stage, p.Outcome, p.Reason = p.Target, lastStage, OutcomeCompleted, reasonInUse
	t.options.Logger.Info("order names the version in use", "service", s.order.Service, "target", p.Target, "revision", p.Revision)
	return t.progressWrite(s, p, "completed, in use already")
}

// ceilMs converts a duration to milliseconds, rounding up.
func ceilMs(d time.Duration) int64 { return (d + time.Millisecond - 1).Milliseconds() }

// finish returns the write of the outcome.
func (t *Tracker) finish(s *serviceUpgrade, o Outcome, reason string) (write, error) {
	p := s.progress
	p.Outcome, p.Reason = o, reason
	j := t.judgement(s)
	fields := []any{"service", s.order.Service, "target", p.Target, "outcome", string(o), "cause", reason, "hosts", len(s.others) + 1}
	t.options.Logger.Info("upgrade ends", append(fields, j.fields()...)...)
	return t.progressWrite(s, p, string(o))
}

// progressWrite returns a write of progress and status that is conditional on the progress row
// being as it was read.
func (t *Tracker) progressWrite(s *serviceUpgrade, p Progress, what string) (write, error) {
	data, err := codec.Encode(p)
	if err != nil {
		return write{}, fmt.Errorf("encode progress: %w", err)
	}
	status, err := t.options.Status(s.order.Service, p.Target, p.Outcome)
	if err != nil {
		return write{}, fmt.Errorf("encode status: %w", err)
	}
	return write{what: what, txn: store.Transaction{
		Conditions: []store.Condition{{Table: Table, Key: s.order.Service, Version: s.row.Version}},
		Writes:     []store.Write{store.Put(Table, s.order.Service, data), status},
	}}, nil
}

// unpublishedEvidence returns writes of the evidence that this host has not published.
func (t *Tracker) unpublishedEvidence() []write {
	t.mu.Lock()
	defer t.mu.Unlock()
	var writes []write
	for name, s := range t.services {
		if s.finished() || !s.restored || targetTotal(s.own.Routes) == s.publishedTotal {
			continue
		}
		w, err := t.publish(s, clock.Now())
		if err != nil {
			t.options.Logger.Error("evidence can't be encoded", "service", name, "error", err)
			continue
		}
		w.service = name
		writes = append(writes, w)
	}
	return writes
}

// publish returns the write of this host's evidence and marks it as published.
func (t *Tracker) publish(s *serviceUpgrade, now clock.Instant) (write, error) {
	e := s.evidence(now)
	data, err := codec.Encode(e)
	if err != nil {
		return write{}, fmt.Errorf("encode evidence: %w", err)
	}
	s.publishedTotal, s.publishedRecent = targetTotal(e.Routes), targetTotal(e.Recent)
	return write{what: "evidence", txn: store.Transaction{
		Writes: []store.Write{store.Put(Table, s.order.Service+"/"+t.options.Host, data)},
	}}, nil
}
