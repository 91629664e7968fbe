package usage

import (
	"maps"
	"time"
)

const (
	// settleTime is the minimum time after a window's end before its counts are complete:
	// requests that started just before the end may be recorded late.
	settleTime = 500 * time.Millisecond
	// maxWait is the maximum time after a window's end to wait for hosts that do not answer;
	// they may be frozen or unreachable for seconds.
	maxWait = 5 * time.Second
	// goneAfterWindows is the number of windows without an answer after which a host is no longer
	// waited for.
	goneAfterWindows = 3
	// lookbackWindows is how many windows before the current one a ledger starts at if no window
	// was reported before.
	lookbackWindows = 4
)

// Ledger collects the counts of all hosts on the host that reports usage. It is not safe for
// concurrent use.
type Ledger struct {
	length             time.Duration
	usageByIncarnation map[string]HostUsage // by incarnation of a host
	fromHost           map[string]bool      // incarnations whose own answer was received
	answeredUntil      map[string]time.Time // by host, the time up to which its counts were received
	lastReported       Window               // the newest reported window
	anyReported        bool                 // whether any window was reported
}

// NewLedger returns an empty ledger.
func NewLedger(length time.Duration) *Ledger {
	return &Ledger{length: length, usageByIncarnation: map[string]HostUsage{}, fromHost: map[string]bool{}, answeredUntil: map[string]time.Time{}}
}

// MarkReported records that a window was reported, by this host or a previous lease holder.
func (l *Ledger) MarkReported(w Window) {
	l.lastReported, l.anyReported = max(l.lastReported, w), true
	for incarnation, a := range l.usageByIncarnation {
		maps.DeleteFunc(a.Windows, func(counted Window, _ Counts) bool { return counted <= l.lastReported })
		if len(a.Windows) == 0 {
			delete(l.usageByIncarnation, incarnation)
		}
	}
}

// FirstUnreported returns the first window that is still to be reported at time now.
func (l *Ledger) FirstUnreported(now time.Time) Window {
	if l.anyReported {
		return l.lastReported + 1
	}
	return WindowOf(now, l.length) - lookbackWindows
}

// SetHostUsage records the counts that a host itself sent, complete up to the given time of day.
func (l *Ledger) SetHostUsage(host string, a HostUsage, until time.Time) {
	l.answeredUntil[host] = until
	l.fromHost[a.Incarnation] = true
	l.set(HostUsage{Incarnation: a.Incarnation, Windows: l.unreported(a.Windows)})
}

// MergeBackup adds the counts of one incarnation of a host from a backup that another host keeps.
// The backup is ignored if that incarnation has answered itself. Counts only grow, so the larger
// of two values is kept.
func (l *Ledger) MergeBackup(a HostUsage) {
	if l.fromHost[a.Incarnation] {
		return
	}
	merged := HostUsage{Incarnation: a.Incarnation, Windows: maps.Clone(l.usageByIncarnation[a.Incarnation].Windows)}
	if merged.Windows == nil {
		merged.Windows = map[Window]Counts{}
	}
	for w, counts := range l.unreported(a.Windows) {
		merged.Windows[w] = merged.Windows[w].larger(counts)
	}
	l.set(merged)
}

// unreported returns the windows that were not reported yet.
func (l *Ledger) unreported(windows map[Window]Counts) map[Window]Counts {
	unreported := maps.Clone(windows)
	maps.DeleteFunc(unreported, func(w Window, _ Counts) bool { return l.anyReported && w <= l.lastReported })
	return unreported
}

func (l *Ledger) set(a HostUsage) {
	delete(l.usageByIncarnation, a.Incarnation)
	if len(a.Windows) > 0 {
		l.usageByIncarnation[a.Incarnation] = a
	}
}

// Due lists the reports that are due at time now, oldest first. A window is complete once all hosts
// have answered after its end; hosts that have not are waited for up to maxWait.
func (l *Ledger) Due(now time.Time) []Report {
	var due []Report
	for w := l.FirstUnreported(now); ; w++ {
		end := w.End(l.length)
		some, all := l.answeredAfter(end)
		if !some || (!all && now.Before(end.Add(maxWait))) {
			return due
		}
		r := Report{Window: w, Counts: l.sum(w)}
		if len(r.Counts) == 0 && !l.anyReported && len(due) == 0 {
			continue // no requests were ever reported, so there is nothing to report yet
		}
		due = append(due, r)
	}
}

// answeredAfter reports whether some host, and whether every host that is not gone, has answered
// after a window's end. A host counts as gone if its last answer is goneAfterWindows older than the
// end. Without any answer the ledger has no counts, which does not mean that there were no requests.
func (l *Ledger) answeredAfter(end time.Time) (some, all bool) {
	all = true
	for _, until := range l.answeredUntil {
		switch {
		case !until.Before(end.Add(settleTime)):
			some = true
		case until.After(end.Add(-goneAfterWindows * l.length)):
			all = false
		}
	}
	return some, all
}

func (l *Ledger) sum(w Window) Counts {
	sum := Counts{}
	for _, a := range l.usageByIncarnation {
		sum = sum.plus(a.Windows[w])
	}
	return sum
}
