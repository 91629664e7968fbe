package usage

import (
	"maps"
	"time"
)

const (
	// settles is how long after its end a window waits at least: requests that began at its
	// end may be noted late.
	settles = 500 * time.Millisecond
	// waits is how long it waits at most for hosts that do not answer; they may be frozen or
	// cut off for seconds.
	waits = 5 * time.Second
	// goneAfter is after how many windows without an answer a host is not waited for.
	goneAfter = 3
	// reportedAgo is how many windows back a ledger that knows of no report begins.
	reportedAgo = 4
)

// Ledger is what the host that reports usage knows. Its methods are not for use at once.
type Ledger struct {
	length   time.Duration
	accounts map[string]HostUsage   // by lifetime
	direct   map[string]bool      // lifetimes that have told this ledger themselves
	answered map[string]time.Time // by host, until when what it has told counts
	reported Window               // the newest
	begun    bool                 // some window was reported
}

// NewLedger returns a ledger that knows nothing.
func NewLedger(length time.Duration) *Ledger {
	return &Ledger{length: length, accounts: map[string]HostUsage{}, direct: map[string]bool{}, answered: map[string]time.Time{}}
}

// Reported takes in that a window was reported, by this host or one before it.
func (l *Ledger) Reported(w Window) {
	l.reported, l.begun = max(l.reported, w), true
	for lifetime, a := range l.accounts {
		maps.DeleteFunc(a.Windows, func(counted Window, _ Counts) bool { return counted <= l.reported })
		if len(a.Windows) == 0 {
			delete(l.accounts, lifetime)
		}
	}
}

// Since is the first window that is still to be reported at a time of day.
func (l *Ledger) Since(now time.Time) Window {
	if l.begun {
		return l.reported + 1
	}
	return WindowOf(now, l.length) - reportedAgo
}

// Take takes in what a host has counted until a time of day.
func (l *Ledger) Take(host string, a HostUsage, until time.Time) {
	l.answered[host] = until
	l.direct[a.Incarnation] = true
	l.set(HostUsage{Incarnation: a.Incarnation, Windows: l.open(a.Windows)})
}

// Add takes in what a life of a host had counted, as another one was told; its own word goes before
// that. Counts only grow, so the larger ones stand.
func (l *Ledger) Add(a HostUsage) {
	if l.direct[a.Incarnation] {
		return
	}
	all := HostUsage{Incarnation: a.Incarnation, Windows: maps.Clone(l.accounts[a.Incarnation].Windows)}
	if all.Windows == nil {
		all.Windows = map[Window]Counts{}
	}
	for w, counts := range l.open(a.Windows) {
		all.Windows[w] = all.Windows[w].most(counts)
	}
	l.set(all)
}

// open returns the windows that are not reported yet.
func (l *Ledger) open(windows map[Window]Counts) map[Window]Counts {
	open := maps.Clone(windows)
	maps.DeleteFunc(open, func(w Window, _ Counts) bool { return l.begun && w <= l.reported })
	return open
}

func (l *Ledger) set(a HostUsage) {
	delete(l.accounts, a.Incarnation)
	if len(a.Windows) > 0 {
		l.accounts[a.Incarnation] = a
	}
}

// Due lists the windows to be reported at a time of day, oldest first. A window is complete
// once all hosts have answered after its end; those that do not are waited for.
func (l *Ledger) Due(now time.Time) []Report {
	var due []Report
	for w := l.Since(now); ; w++ {
		end := w.End(l.length)
		some, all := l.told(end)
		if !some || (!all && now.Before(end.Add(waits))) {
			return due
		}
		r := Report{Window: w, Counts: l.sum(w)}
		if len(r.Counts) == 0 && !l.begun && len(due) == 0 {
			continue // there were no requests yet
		}
		due = append(due, r)
	}
}

// told reports whether some hosts, and whether all that answer, have told of a window after its
// end; one that has told nothing since long before it is gone. A ledger that nobody has told
// anything knows of no requests, which is not to know that there were none.
func (l *Ledger) told(end time.Time) (some, all bool) {
	all = true
	for _, until := range l.answered {
		switch {
		case !until.Before(end.Add(settles)):
			some = true
		case until.After(end.Add(-goneAfter * l.length)):
			all = false
		}
	}
	return some, all
}

func (l *Ledger) sum(w Window) Counts {
	sum := Counts{}
	for _, a := range l.accounts {
		sum = sum.plus(a.Windows[w])
	}
	return sum
}
