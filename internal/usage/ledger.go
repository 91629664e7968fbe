package usage

import (
	"maps"
	"time"
)

const (
	// settleTime is how long after its end a window waits at least: requests that began at its
	// end may be noted late.
	settleTime = 500 * time.Millisecond
	// maxWait is how long it maxWait at most for hosts that do not answer; they may be frozen or
	// cut off for seconds.
	maxWait = 5 * time.Second
	// goneAfterWindows is after how many windows without an answer a host is not waited for.
	goneAfterWindows = 3
	// lookbackWindows is how many windows back a ledger that knows of no report begins.
	lookbackWindows = 4
)

// Ledger is what the host that reports usage knows. Its methods are not for use at once.
type Ledger struct {
	length   time.Duration
	usageByIncarnation map[string]HostUsage   // by lifetime
	fromHost   map[string]bool      // lifetimes that have told this ledger themselves
	answeredUntil map[string]time.Time // by host, until when what it has told counts
	lastReported Window               // the newest
	anyReported    bool                 // some window was reported
}

// NewLedger returns a ledger that knows nothing.
func NewLedger(length time.Duration) *Ledger {
	return &Ledger{length: length, usageByIncarnation: map[string]HostUsage{}, fromHost: map[string]bool{}, answeredUntil: map[string]time.Time{}}
}

// MarkReported takes in that a window was reported, by this host or one before it.
func (l *Ledger) MarkReported(w Window) {
	l.lastReported, l.anyReported = max(l.lastReported, w), true
	for incarnation, a := range l.usageByIncarnation {
		maps.DeleteFunc(a.Windows, func(counted Window, _ Counts) bool { return counted <= l.lastReported })
		if len(a.Windows) == 0 {
			delete(l.usageByIncarnation, incarnation)
		}
	}
}

// FirstUnreported is the first window that is still to be reported at a time of day.
func (l *Ledger) FirstUnreported(now time.Time) Window {
	if l.anyReported {
		return l.lastReported + 1
	}
	return WindowOf(now, l.length) - lookbackWindows
}

// SetHostUsage takes in what a host has counted until a time of day.
func (l *Ledger) SetHostUsage(host string, a HostUsage, until time.Time) {
	l.answeredUntil[host] = until
	l.fromHost[a.Incarnation] = true
	l.set(HostUsage{Incarnation: a.Incarnation, Windows: l.unreported(a.Windows)})
}

// MergeBackup takes in what a life of a host had counted, as another one was told; its own word goes before
// that. Counts only grow, so the larger ones stand.
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

// unreported returns the windows that are not reported yet.
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

// Due lists the windows to be reported at a time of day, oldest first. A window is complete
// once all hosts have answered after its end; those that do not are waited for.
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
			continue // there were no requests yet
		}
		due = append(due, r)
	}
}

// answeredAfter reports whether some hosts, and whether all that answer, have answeredAfter of a window after its
// end; one that has answeredAfter nothing since long before it is gone. A ledger that nobody has answeredAfter
// anything knows of no requests, which is not to know that there were none.
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
