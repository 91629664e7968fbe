package reach

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"quaybarrow/internal/reach/reachpb"
)

// Errors of connections through other hosts.
var (
	// errNoHelper means that no host that was asked could tell anything.
	errNoHelper = errors.New("no other host can be asked")
	// errUnreachedByHelper means that a host that reaches other endpoints does not reach this one.
	errUnreachedByHelper = errors.New("another host does not reach it either")
	// errHelpersCutOff means that hosts that were asked may be cut off too.
	errHelpersCutOff = errors.New("other hosts may be cut off too")
)

// Bounds of asking other hosts.
const (
	// maxAsked is how many hosts are asked for one connection. Several hosts may be cut off together,
	// and an endpoint must not be taken for down on the word of these.
	maxAsked = 6
	// maxAskedInTurn is how many of them are asked one after the other; the rest are asked together.
	maxAskedInTurn = 2
	// maxAskedInHall is how many hosts of one data hall are considered that have not lately connected.
	maxAskedInHall = maxAsked
	// askNextDelay is how long one host may take before the next one is asked too.
	askNextDelay = 60 * time.Millisecond
	// enoughAnswers is the number of hosts whose word is enough if others don't answer within
	// lastAnswerDelay of them.
	enoughAnswers   = 2
	lastAnswerDelay = 30 * time.Millisecond
	// provenTime is how long a host that has connected counts as one that reaches endpoints.
	provenTime = 10 * time.Second
	// failedPause, cutOffPause and busyPause are how long a host is not asked after it gave no
	// answer, proved to be cut off itself, or could relay no more.
	failedPause = time.Second
	cutOffPause = 2 * time.Second
	busyPause   = 300 * time.Millisecond
)

// helper is another host, as one that relays connections. Its fields are guarded by the tracker's
// mutex.
type helper struct {
	address    string
	provenAt   time.Duration // when it last connected; 0 for never
	retryAt    time.Duration // it is not asked before then
	tunnels    map[*tunnel]struct{}
	heardAt    atomic.Int64 // when anything last arrived from it, in ns of the tracker's clock; not guarded
	monitoring bool         // a monitor runs
}

// proven reports whether the host has lately connected.
func (h *helper) proven(now time.Duration) bool { return h.provenAt > 0 && now-h.provenAt < provenTime }

// helper returns the helper with an address; the caller holds mu.
func (t *Tracker) helper(address string) *helper {
	h, ok := t.helpers[address]
	if !ok {
		h = &helper{address: address, tunnels: map[*tunnel]struct{}{}}
		t.helpers[address] = h
	}
	return h
}

// Helper is another host that may relay connections.
type Helper struct{ Address, Hall string }

// helpersMaxAge is how long the list of hosts is used before it is read again.
const helpersMaxAge = time.Second

// listHelpers returns the other hosts in random order, which spreads the load; the caller holds mu.
func (t *Tracker) listHelpers() []Helper {
	now := t.now()
	if t.listed != nil && now-t.listedAt < helpersMaxAge {
		return t.listed
	}
	t.listed, t.listedAt = t.options.Helpers(), now
	rand.Shuffle(len(t.listed), func(i, j int) { t.listed[i], t.listed[j] = t.listed[j], t.listed[i] })
	return t.listed
}

// option is a host that may be asked for a connection.
type option struct {
	helper    *helper
	hall      string
	proven    bool
	crossings int // how often data passes from one data hall to another
}

// candidates returns the hosts to ask for a connection to an endpoint. Those by which data crosses
// fewest data halls come first, and among them those that have lately connected. As the hosts of one
// hall may be cut off together, the halls take turns.
func (t *Tracker) candidates(l *link, except Way) []*helper {
	_, endpointHall := t.options.Endpoint(l.address)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var options []option
	halls := map[string]int{} // number of unproven options, by hall
	for _, listed := range t.listHelpers() {
		h, known := t.helpers[listed.Address]
		proven := known && h.proven(now)
		if Way(listed.Address) == except || (known && now < h.retryAt) || (!proven && halls[listed.Hall] >= maxAskedInHall) {
			continue
		}
		if !proven {
			halls[listed.Hall]++
		}
		o := option{helper: t.helper(listed.Address), hall: listed.Hall, proven: proven}
		if listed.Hall != t.options.Hall {
			o.crossings++
		}
		if endpointHall != "" && listed.Hall != endpointHall {
			o.crossings++
		}
		options = append(options, o)
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.crossings, b.crossings), cmp.Compare(rankOf(a), rankOf(b)))
	})
	return alternateHalls(options)
}

// rankOf returns 0 for a proven host and 1 for another.
func rankOf(o option) int {
	if o.proven {
		return 0
	}
	return 1
}

// alternateHalls returns the hosts to ask from an ordered list: the first of each data hall, then the
// second of each, and so on.
func alternateHalls(options []option) []*helper {
	var found []*helper
	taken := make([]bool, len(options))
	for len(found) < min(len(options), maxAsked) {
		halls := map[string]bool{} // that have had their turn
		for i, o := range options {
			if !taken[i] && !halls[o.hall] && len(found) < maxAsked {
				taken[i], halls[o.hall] = true, true
				found = append(found, o.helper)
			}
		}
	}
	return found
}

// asked is the result of asking one host for a connection.
type asked struct {
	helper *helper
	proven bool // it was proven when it was asked
	tunnel *tunnel
	result reachpb.Result
	err    error // the host could not be asked
}

// purpose is what a connection through another host is for. One for a check carries no request, so that
// it is opened even if the endpoint wants nothing from the host that relays.
type purpose int

const (
	forRequests purpose = iota
	forCheck
)

// dialRelayed connects to an endpoint through another host, other than the one of a given way.
func (t *Tracker) dialRelayed(ctx context.Context, l *link, except Way, p purpose) (*Conn, error) {
	candidates := t.candidates(l, except)
	if len(candidates) == 0 {
		t.countRelayed("no host to ask")
		return nil, fmt.Errorf("connect through another host: %w", errNoHelper)
	}
	results := make(chan asked, len(candidates))
	next := time.NewTimer(0)
	defer next.Stop()
	var failures []asked
	var enough <-chan time.Time // ends the wait for hosts that don't answer
	for sent := 0; len(failures) < len(candidates); {
		select {
		case <-enough:
			go closeTunnels(results, sent-len(failures))
			return nil, t.giveUp(failures)
		case <-next.C:
			upTo := sent + 1
			if sent >= maxAskedInTurn {
				upTo = len(candidates)
			}
			for ; sent < min(upTo, len(candidates)); sent++ {
				h := candidates[sent]
				go func() { results <- t.ask(ctx, h, l.address, p) }()
			}
			next.Reset(askNextDelay)
		case a := <-results:
			if a.tunnel == nil {
				failures = append(failures, a)
				next.Reset(0)
				if enough == nil && countAnswers(failures) >= enoughAnswers {
					enough = time.After(lastAnswerDelay)
				}
				continue
			}
			go closeTunnels(results, sent-len(failures)-1)
			t.recordConnected(a.helper, failures)
			t.countRelayed("connected")
			return t.newConn(l, Way(a.helper.address), a.tunnel), nil
		case <-ctx.Done():
			go closeTunnels(results, sent-len(failures))
			return nil, fmt.Errorf("connect through another host: %w", ctx.Err())
		}
	}
	return nil, t.giveUp(failures)
}

// giveUp returns the error of a connection for which no host that answered could be found.
func (t *Tracker) giveUp(failures []asked) error {
	t.countRelayed("failed")
	return fmt.Errorf("connect through another host: %w", t.judge(failures))
}

// countAnswers returns how many hosts have tried to connect and could not.
func countAnswers(failures []asked) int {
	n := 0
	for _, f := range failures {
		if f.result == reachpb.Result_REFUSED || f.result == reachpb.Result_SILENT {
			n++
		}
	}
	return n
}

// closeTunnels closes the tunnels of hosts that were asked in vain.
func closeTunnels(results <-chan asked, n int) {
	for range n {
		if a := <-results; a.tunnel != nil {
			_ = a.tunnel.Close()
		}
	}
}

// ask asks a host for a connection.
func (t *Tracker) ask(ctx context.Context, h *helper, address string, p purpose) asked {
	t.mu.Lock()
	a := asked{helper: h, proven: h.proven(t.now())}
	t.mu.Unlock()
	a.tunnel, a.result, a.err = t.openTunnel(ctx, h, address, p)
	pause := time.Duration(0)
	switch {
	case ctx.Err() != nil:
	case a.err != nil:
		pause = failedPause
	case a.result == reachpb.Result_CUT_OFF, a.result == reachpb.Result_UNSURE:
		pause = cutOffPause
	case a.result == reachpb.Result_BUSY, a.result == reachpb.Result_DRAINING:
		pause = busyPause
	}
	if pause > 0 {
		t.mu.Lock()
		h.retryAt = t.now() + pause
		t.mu.Unlock()
	}
	return a
}

// recordConnected records that a host has connected where others have failed.
func (t *Tracker) recordConnected(h *helper, failures []asked) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	h.provenAt = now
	for _, f := range failures {
		if f.result == reachpb.Result_REFUSED || f.result == reachpb.Result_SILENT {
			f.helper.retryAt, f.helper.provenAt = now+cutOffPause, 0
		}
	}
}

// judge returns what it means that all hosts that were asked have failed.
func (t *Tracker) judge(failures []asked) error {
	cutOff := t.isCutOff()
	unreached, refused, doubtful := false, false, false
	for _, f := range failures {
		switch f.result {
		case reachpb.Result_REFUSED, reachpb.Result_SILENT:
			credible := f.proven || !cutOff
			unreached = unreached || credible
			refused = refused || (credible && f.result == reachpb.Result_REFUSED)
			doubtful = doubtful || !credible
		case reachpb.Result_CUT_OFF:
			doubtful = true
		}
	}
	switch {
	case refused && !doubtful:
		return fmt.Errorf("%w: %w", errUnreachedByHelper, syscall.ECONNREFUSED)
	case unreached && !doubtful:
		return errUnreachedByHelper
	case doubtful:
		return errHelpersCutOff
	default:
		return errNoHelper
	}
}
