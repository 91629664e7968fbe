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
	// echoLife is how long what an endpoint said of its load counts for
	// something; requests last a few seconds at most.
	echoLife = 2 * time.Second
	// slotsUnsaid stands in for slots that an endpoint does not tell.
	slotsUnsaid = 8
)

// lapseGrace is how long an endpoint whose entry vanished while the store was
// away stays in use; living ones are listed again within about two seconds.
const lapseGrace = 2 * time.Second

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
	options Options
	observe func(id string, o Outcome) // nil if nobody minds
	heard   func(HeadReport)           // as observe
	wanted  func()                     // as observe
	known   chan struct{}              // closed once an endpoint was listed

	mu        sync.Mutex               // guards all below
	members   map[string]*member       // by ID
	instances map[string]*member       // by what they call themselves
	words     map[string]string        // what many endpoints tell alike
	evacuated map[string]clock.Instant // data halls that get nothing, and since when
	read      bool                     // the list was read whole; who comes after it has just started
	byService map[string]*pool
	ejected   map[string]*member // by ID, those that were lately; others may be among them
	readings  map[serves]*reading
	prices    map[string]price            // of an engine's second, by service
	crowds    map[string]*crowd           // by service
	overruns  map[string]Overrun          // by service
	turns     map[string]*admission.Turns // requests that wait, by service
	stays     map[string]time.Duration    // how long an answer holds a slot from its head on, by service
	memory    memory
	advises   tenure             // with prompts of which other hosts' choices are known
	limits    map[string]*member // by ID, those that name a limit or lately did
	wanting   map[string]*member // of these, those that something is to be borrowed of
	news      map[string]*member // of these, those of which all hosts are to be told
	lent      []*member          // of these, those of which something is in hand, and lately was
	tickets   int64              // the last one given out; it begins by chance, so that those of another adviser mean nothing here
}

// member is an endpoint with what this host knows of it.
type member struct {
	Endpoint
	seed     uint64   // hash of the id
	place    place    // in the pool of its service
	inHall   string   // by which it stands there
	paced    float64  // how long work takes there, smoothed; 0 before it was heard of
	models   []string // that it said it has loaded; nil if it did not say
	leaving  bool     // it said so itself
	flying   int      // this host's requests there
	others   int      // others' requests there, when it last said
	crowd    *crowd   // what endpoints of its service say; nil before it is listed
	saidAt   clock.Instant
	booked   clock.Instant // until when it should have read all prompts that were sent there
	dealings *dealings     // nil before this host has sent there or heard of it
	advised  []advised     // requests of other hosts there that have not ended
	awaiting []awaited     // requests whose answers have not begun, in the order of their sending
	health   health
	shunned  clock.Instant // it fails other hosts; left alone until then
	lapsed   clock.Instant // to be dropped then unless it is listed again; zero if listed
	kept     kept          // what it is taken to keep of prompts
	found    finding       // what of the prompt that is being placed
	region   string        // of its data hall
	warmth   warmth
	limited  *limitation // nil while it names no limit
}

// ticketsFrom bounds the first ticket; it leaves as many again to be given out.
const ticketsFrom = math.MaxInt64 / 2

// New returns a fleet without endpoints.
func New(options Options) *Fleet {
	if options.MaxEjection == 0 {
		options.MaxEjection = ejectMost
	}
	if options.Now == nil {
		options.Now = clock.Now
	}
	if options.Random == nil {
		options.Random = rand.Float64
	}
	return &Fleet{
		options: options, known: make(chan struct{}), members: map[string]*member{}, instances: map[string]*member{}, words: map[string]string{}, evacuated: map[string]clock.Instant{}, limits: map[string]*member{}, wanting: map[string]*member{}, news: map[string]*member{}, byService: map[string]*pool{}, ejected: map[string]*member{}, readings: map[serves]*reading{},
		prices: map[string]price{}, overruns: map[string]Overrun{}, crowds: map[string]*crowd{}, stays: map[string]time.Duration{}, turns: map[string]*admission.Turns{}, memory: memory{holders: map[uint64][]*member{}}, tickets: rand.Int64N(ticketsFrom),
	}
}

// Populated returns a channel that is closed once an endpoint was listed.
func (f *Fleet) Populated() <-chan struct{} { return f.known }

// Put adds an endpoint or brings it up to date; it reports whether that is another start of
// one that was listed. What an earlier start left behind is passed over.
func (f *Fleet) Put(e Endpoint) (again bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.put(e)
}

func (f *Fleet) put(e Endpoint) (again bool) {
	select {
	case <-f.known:
	default:
		close(f.known)
	}
	e = f.alike(e)
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
		again = true
	}
	m, ok := f.members[e.ID]
	if !ok {
		m = &member{seed: xxhash.Sum64String(e.Instance)}
		f.members[e.ID], f.instances[e.Instance] = m, m
	}
	if ok && (m.Service != e.Service || m.Hall != e.Hall) {
		f.unlink(m)
		ok = false
	}
	if e.Slots == 0 {
		e.Slots = m.Slots // the endpoint's own word
	}
	m.Endpoint, m.lapsed, m.region = e, clock.Instant{}, f.options.Regions[e.Hall]
	f.chill(m, !ok)
	if !ok {
		f.poolOf(e.Service).add(m)
		m.crowd = f.crowdOf(e.Service)
	}
	return again
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
	f.unlimit(m)
	delete(f.instances, instance)
	f.unlink(m)
	f.memory.drop(m)
}

func (f *Fleet) unlink(m *member) {
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
	if m, ok := f.instances[instance]; ok && m.lapsed.IsZero() {
		m.lapsed = f.options.Now().Add(lapseGrace)
	}
}

// Reset brings the fleet up to date with a whole list. Endpoints that it lacks
// go at once, or after the grace if the store was away.
func (f *Fleet) Reset(list []Endpoint, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.name()] = true
		f.put(e)
	}
	f.read = true
	for instance := range f.instances {
		switch {
		case listed[instance]:
		case away:
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
	var gone []string
	for instance, m := range f.instances {
		if !m.lapsed.IsZero() && now.After(m.lapsed) {
			gone = append(gone, instance)
		}
	}
	for _, instance := range gone {
		f.remove(instance)
	}
	return gone
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
	return ok && !m.Draining && !m.leaving
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
		return m.flying
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
	m.models, m.leaving = r.Models, r.Draining
	if r.Load.Slots > 0 {
		m.Slots = r.Load.Slots
	}
	m.others, m.saidAt = max(0, r.Load.Running+r.Load.Waiting-r.InFlight), r.Asked
}

// View lists all endpoints by id, for operators.
func (f *Fleet) View() []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Now()
	list := make([]Status, 0, len(f.members))
	for _, m := range f.members {
		s := Status{Endpoint: m.Endpoint, Models: m.models, InFlight: m.flying, Others: m.others}
		s.Draining = m.Draining || m.leaving
		s.Evacuated = f.away(m)
		if m.warmth.cold(now) {
			s.ColdSince, s.ColdFor = m.warmth.since, max(0, m.warmth.until.Sub(now))
		}
		s.Ready = !s.Draining && m.tier(now) < tierEjected
		s.Limit = m.limitStatus(now)
		if !m.saidAt.IsZero() {
			s.Age = now.Sub(m.saidAt)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
