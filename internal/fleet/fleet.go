package fleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
)

// Parameters of what is known of an endpoint's load.
const (
	// loadReportTTL is how long what an endpoint said of its load counts for
	// something; requests last a few seconds at most.
	loadReportTTL = 2 * time.Second
	// defaultSlots stands in for slots that an endpoint does not tell.
	defaultSlots = 8
)

// lapseGracePeriod is how long an endpoint whose entry vanished while the store was
// away stays in use; living ones are listed again within about two seconds.
const lapseGracePeriod = 2 * time.Second

// Options set up a Fleet.
type Options struct {
	Hall string // the host's own data hall
	// SendingHosts counts the hosts that send to an endpoint of a service, this one
	// included; nil where endpoints say in each answer how loaded they are.
	SendingHosts func(service string) int
	// MaxEjection is the longest that an endpoint is left alone; 0 stands for a time
	// that suits endpoints whose list is brought up to date within seconds.
	MaxEjection time.Duration
	// Regions are the data halls' regions, by hall; nil where nothing goes by them.
	Regions map[string]string
	// WarmUp tells what cold endpoints of a service bear; nil where they bear as much as
	// others.
	WarmUp func(service string) WarmUp
	// Choosers counts those who choose endpoints; nil for this host alone.
	Choosers func() Choosers
	// Now and Random stand in for the runtime's clock and random numbers from 0 to
	// 1 in experiments, which play virtual time; nil outside of them.
	Now    func() clock.Instant
	Random func() float64
}

// Fleet is what a host knows of all endpoints; safe for use at once.
type Fleet struct {
	options      Options
	onOutcome    func(id string, o Outcome) // nil if nobody minds
	onHead       func(HeadReport)           // as observe
	onLoanNeeded func()                     // as observe
	populated    chan struct{}              // closed once an endpoint was listed

	mu            sync.Mutex               // guards all below
	members       map[string]*member       // by ID
	instances     map[string]*member       // by what they call themselves
	interned      map[string]string        // what many endpoints tell alike
	evacuated     map[string]clock.Instant // data halls that get nothing, and since when
	listRead      bool                     // the list was read whole; who comes after it has just started
	byService     map[string]*pool
	ejected       map[string]*member // by ID, those that were lately; others may be among them
	prefillModels map[modelKey]*prefillModel
	prices        map[string]price            // of an engine's second, by service
	remoteLoads   map[string]*remoteLoad      // by service
	overruns      map[string]Overrun          // by service
	turns         map[string]*admission.Turns // requests that wait, by service
	slotTimes     map[string]time.Duration    // how long an answer holds a slot from its head on, by service
	prefixes      prefixIndex
	adviserTenure tenure             // with prompts of which other hosts' choices are known
	limits        map[string]*member // by ID, those that name a limit or lately did
	needLoans     map[string]*member // of these, those that something is to be borrowed of
	changedLimits map[string]*member // of these, those of which all hosts are to be told
	withLoans     []*member          // of these, those of which something is in hand, and lately was
	lastTicket    int64              // the last one given out; it begins by chance, so that those of another adviser mean nothing here
}

// member is an endpoint with what this host knows of it.
type member struct {
	Endpoint
	seed             uint64       // hash of the id
	position         poolPosition // in the pool of its service
	poolHall         string       // by which it stands there
	smoothedPace     float64      // how long work takes there, smoothed; 0 before it was heard of
	models           []string     // that it said it has loaded; nil if it did not say
	reportedDraining bool         // it said so itself
	inFlight         int          // this host's requests there
	others           int          // others' requests there, when it last said
	remoteLoad       *remoteLoad  // what endpoints of its service say; nil before it is listed
	loadAt           clock.Instant
	prefillUntil     clock.Instant // until when it should have read all prompts that were sent there
	queue            *queueState   // nil before this host has sent there or heard of it
	advised          []advised     // requests of other hosts there that have not ended
	awaiting         []awaited     // requests whose answers have not begun, in the order of their sending
	health           health
	peerEjectedUntil clock.Instant // it fails other hosts; left alone until then
	lapsesAt         clock.Instant // to be dropped then unless it is listed again; zero if listed
	cache            prefixCache   // what it is taken to keep of prompts
	match            prefixMatch   // what of the prompt that is being placed
	region           string        // of its data hall
	warmUp           warmUpState
	limit            *limitState // nil while it names no limit
}

// maxFirstTicket bounds the first ticket; it leaves as many again to be given out.
const maxFirstTicket = math.MaxInt64 / 2

// New returns a fleet without endpoints.
func New(options Options) *Fleet {
	if options.MaxEjection == 0 {
		options.MaxEjection = defaultMaxEjection
	}
	if options.Now == nil {
		options.Now = clock.Now
	}
	if options.Random == nil {
		options.Random = rand.Float64
	}
	return &Fleet{
		options: options, populated: make(chan struct{}), members: map[string]*member{}, instances: map[string]*member{}, interned: map[string]string{}, evacuated: map[string]clock.Instant{}, limits: map[string]*member{}, needLoans: map[string]*member{}, changedLimits: map[string]*member{}, byService: map[string]*pool{}, ejected: map[string]*member{}, prefillModels: map[modelKey]*prefillModel{},
		prices: map[string]price{}, overruns: map[string]Overrun{}, remoteLoads: map[string]*remoteLoad{}, slotTimes: map[string]time.Duration{}, turns: map[string]*admission.Turns{}, prefixes: prefixIndex{holders: map[uint64][]*member{}}, lastTicket: rand.Int64N(maxFirstTicket),
	}
}

// Populated returns a channel that is closed once an endpoint was listed.
func (f *Fleet) Populated() <-chan struct{} { return f.populated }

// Put adds an endpoint or brings it up to date; it reports whether that is another start of
// one that was listed. What an earlier start left behind is passed over.
func (f *Fleet) Put(e Endpoint) (restarted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.put(e)
}

func (f *Fleet) put(e Endpoint) (restarted bool) {
	select {
	case <-f.populated:
	default:
		close(f.populated)
	}
	e = f.intern(e)
	old, listed := f.instances[e.Instance]
	if listed && e.StartMillis == 0 {
		e.ID, e.StartMillis = old.ID, old.StartMillis // it does not tell this time
	}
	switch {
	case !listed || old.ID == e.ID:
	case e.StartMillis < old.StartMillis:
		return false
	default:
		f.remove(e.Instance)
		restarted = true
	}
	m, ok := f.members[e.ID]
	if !ok {
		m = &member{seed: xxhash.Sum64String(e.Instance)}
		f.members[e.ID], f.instances[e.Instance] = m, m
	}
	if ok && (m.Service != e.Service || m.Hall != e.Hall) {
		f.removeFromPool(m)
		ok = false
	}
	if e.Slots == 0 {
		e.Slots = m.Slots // the endpoint's own word
	}
	m.Endpoint, m.lapsesAt, m.region = e, clock.Instant{}, f.options.Regions[e.Hall]
	f.applyCold(m, !ok)
	if !ok {
		f.poolOf(e.Service).add(m)
		m.remoteLoad = f.remoteLoadOf(e.Service)
	}
	return restarted
}

// Remove takes an endpoint out at once, by what it calls itself.
func (f *Fleet) Remove(instance string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(instance)
}

func (f *Fleet) remove(instance string) {
	m, ok := f.instances[instance]
	if !ok {
		return
	}
	delete(f.members, m.ID)
	delete(f.ejected, m.ID)
	f.dropLimit(m)
	delete(f.instances, instance)
	f.removeFromPool(m)
	f.prefixes.removeMember(m)
}

func (f *Fleet) removeFromPool(m *member) {
	p := f.byService[m.Service]
	p.remove(m)
	if len(p.all) == 0 {
		delete(f.byService, m.Service)
	}
}

func (f *Fleet) poolOf(service string) *pool {
	p, ok := f.byService[service]
	if !ok {
		p = newPool()
		f.byService[service] = p
	}
	return p
}

// endpointsOf lists the endpoints of a service.
func (f *Fleet) endpointsOf(service string) []*member {
	if p, ok := f.byService[service]; ok {
		return p.all
	}
	return nil
}

// Lapse notes that an endpoint's entry vanished while the store was away: it
// stays in use for a short grace.
func (f *Fleet) Lapse(instance string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lapse(instance)
}

func (f *Fleet) lapse(instance string) {
	if m, ok := f.instances[instance]; ok && m.lapsesAt.IsZero() {
		m.lapsesAt = f.options.Now().Add(lapseGracePeriod)
	}
}

// Reset brings the fleet up to date with a whole list. Endpoints that it lacks
// go at once, or after the grace if the store was away.
func (f *Fleet) Reset(list []Endpoint, afterOutage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.name()] = true
		f.put(e)
	}
	f.listRead = true
	for instance := range f.instances {
		switch {
		case listed[instance]:
		case afterOutage:
			f.lapse(instance)
		default:
			f.remove(instance)
		}
	}
}

// Sweep drops endpoints whose grace is over and returns what they call themselves.
func (f *Fleet) Sweep() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	var removed []string
	for instance, m := range f.instances {
		if !m.lapsesAt.IsZero() && now.After(m.lapsesAt) {
			removed = append(removed, instance)
		}
	}
	for _, instance := range removed {
		f.remove(instance)
	}
	return removed
}

// Size counts the endpoints that take requests.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.members {
		if !m.Draining {
			n++
		}
	}
	return n
}

// Count counts the listed endpoints of a service.
func (f *Fleet) Count(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.endpointsOf(service))
}

// Versions counts the endpoints of a service that take requests, by version.
func (f *Fleet) Versions(service string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for _, m := range f.endpointsOf(service) {
		if !m.Draining {
			counts[m.Version]++
		}
	}
	return counts
}

// Listed returns the endpoint that calls itself so.
func (f *Fleet) Listed(instance string) (Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.instances[instance]
	if !ok {
		return Endpoint{}, false
	}
	return m.Endpoint, true
}

// Serves reports whether an endpoint's start is listed, and neither it nor its entry says that
// it leaves.
func (f *Fleet) Serves(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	return ok && !m.Draining && !m.reportedDraining
}

// HasModel reports whether some endpoint of a service that is well has a model.
func (f *Fleet) HasModel(service, model string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	for _, m := range f.endpointsOf(service) {
		if f.usable(m, Request{Model: model}) && m.tier(now) < tierEjected {
			return true
		}
	}
	return false
}

// InFlight counts this host's requests at an endpoint.
func (f *Fleet) InFlight(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		return m.inFlight
	}
	return 0
}

// Report takes in an endpoint's own account of its load.
func (f *Fleet) Report(id string, r Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return
	}
	m.models, m.reportedDraining = r.Models, r.Draining
	if r.Load.Slots > 0 {
		m.Slots = r.Load.Slots
	}
	m.others, m.loadAt = max(0, r.Load.Running+r.Load.Waiting-r.InFlight), r.Asked
}

// View lists all endpoints by id, for operators.
func (f *Fleet) View() []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	list := make([]Status, 0, len(f.members))
	for _, m := range f.members {
		s := Status{Endpoint: m.Endpoint, Models: m.models, InFlight: m.inFlight, Others: m.others}
		s.Draining = m.Draining || m.reportedDraining
		s.Evacuated = f.inEvacuatedHall(m)
		if m.warmUp.cold(now) {
			s.ColdSince, s.ColdFor = m.warmUp.coldSince, max(0, m.warmUp.coldUntil.Sub(now))
		}
		s.Ready = !s.Draining && m.tier(now) < tierEjected
		s.Limit = m.limitStatus(now)
		if !m.loadAt.IsZero() {
			s.Age = now.Sub(m.loadAt)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
