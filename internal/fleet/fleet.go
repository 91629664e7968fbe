package fleet

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quaybarrow/internal/admission"
	"quaybarrow/internal/clock"
)

// Parameters of the load estimate of an endpoint.
const (
	// loadReportTTL is the age at which an endpoint's load report has lost all weight; requests
	// last a few seconds at most.
	loadReportTTL = 2 * time.Second
	// defaultSlots is used for endpoints that do not report their slots.
	defaultSlots = 8
)

// lapseGracePeriod is how long an endpoint stays in use after its entry disappeared during a store
// outage; running endpoints are listed again within about two seconds.
const lapseGracePeriod = 2 * time.Second

// Options configure a Fleet.
type Options struct {
	Hall string // this host's data hall
	// SendingHosts returns the number of hosts that send to an endpoint of a service, this host
	// included; nil if endpoints report their load in each response.
	SendingHosts func(service string) int
	// MaxEjection is the longest ejection of an endpoint; 0 selects a default that suits endpoints
	// whose list is updated within seconds.
	MaxEjection time.Duration
	// Regions maps data halls to regions; nil if regions are not used.
	Regions map[string]string
	// WarmUp returns the limits of cold endpoints of a service; nil if cold endpoints take as much
	// as others.
	WarmUp func(service string) WarmUp
	// Choosers returns the number of hosts that choose endpoints; nil if only this host does.
	Choosers func() Choosers
	// Now and Random replace the runtime's clock and random numbers from 0 to 1 in experiments that
	// run in virtual time; nil elsewhere.
	Now    func() clock.Instant
	Random func() float64
}

// Fleet holds what a host knows of all endpoints. It is safe for concurrent use.
type Fleet struct {
	options      Options
	onOutcome    func(id string, o Outcome) // nil if not set
	onHead       func(HeadReport)           // nil if not set
	onLoanNeeded func()                     // nil if not set
	onEjected    func(Ejection)             // nil if not set
	onNotice     func(Notice)               // nil if not set
	populated    chan struct{}              // closed once an endpoint was listed

	mu            sync.Mutex               // guards all fields below
	members       map[string]*member       // by ID
	notices       map[string]*notices      // by ID, also of endpoints that are not listed
	untoldLeaving map[string]struct{}      // by ID, endpoints of which other hosts are to be told that they leave
	instances     map[string]*member       // by instance name
	addresses     map[string][]*member     // listed endpoints, by address
	interned      map[string]string        // strings that many endpoints have in common
	evacuated     map[string]clock.Instant // data halls that get no new requests, and since when
	listRead      bool                     // the list was read in full; endpoints added later have just started
	listConfirmed clock.Instant            // when the list was last known to be current; zero before it was read
	byService     map[string]*pool
	ejected       map[string]*member // by ID, recently ejected endpoints; may hold some that are no longer ejected
	prefillModels map[modelKey]*prefillModel
	prices        map[string]price                  // of a second of prefill, by service
	remoteLoads   map[string]*remoteLoad            // by service
	overruns      map[string]Overrun                // by service
	waitingLists  map[string]*admission.WaitingList // waiting requests, by service
	slotTimes     map[string]time.Duration          // how long a response holds a slot from its head on, by service
	prefixes      prefixIndex
	advisorTenure tenure             // of choosing endpoints for prompts with knowledge of other hosts' choices
	limits        map[string]*member // by ID, endpoints that announce a limit or recently did
	needLoans     map[string]*member // subset of limits: loans are to be requested
	changedLimits map[string]*member // subset of limits: to be published to all hosts
	// costlyServices holds, by service, what is known of costly rejections.
	costlyServices map[string]costlyState
	withLoans      []*member // subset of limits: loans are available, or recently were
	lastTicket     int64     // starts at a random number, so that tickets of another advisor match nothing here
}

// member is an endpoint with this host's knowledge of it.
type member struct {
	Endpoint
	seed             uint64       // hash of the instance name
	position         poolPosition // in the pool of its service
	poolHall         string       // hall under which the pool lists it
	smoothedPace     float64      // smoothed pace that it reports; 0 before its first report
	models           []string     // that it reported as loaded; nil if it does not report them
	reportedDraining bool         // it reported that it is draining
	inFlight         int          // this host's requests there
	others           int          // other hosts' requests there, by its last report
	remoteLoad       *remoteLoad  // load that endpoints of its service report; nil before it is listed
	loadAt           clock.Instant
	prefillUntil     clock.Instant // when it should have prefilled all prompts that were sent there
	queue            *queueState   // nil before this host has sent there or received a report of it
	advised          []advised     // other hosts' requests there that have not ended
	awaiting         []awaited     // requests without a response head, in the order in which they were sent
	health           health
	peerEjectedUntil clock.Instant // ejected until then because it fails other hosts
	unreachedUntil   clock.Instant // ejected until then because this host does not reach it; other hosts may
	noPlaceUntil     clock.Instant // it has no place for another request of this host before then
	reported         Load          // its latest report; zero Slots if there is none
	reportedAt       clock.Instant // when that arrived
	lapsesAt         clock.Instant // removed then unless it is listed again; zero if listed
	cache            prefixCache   // prompt parts that it is assumed to have cached
	match            prefixMatch   // its cached parts of the prompt that is being placed
	region           string        // of its data hall
	notices          *notices      // nil if it has asked for nothing
	warmUp           warmUpState
	limit            *limitState // nil if it announces no limit
}

// maxFirstTicket bounds the first ticket; as many tickets again remain to be issued.
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
		options: options, populated: make(chan struct{}), members: map[string]*member{}, notices: map[string]*notices{}, untoldLeaving: map[string]struct{}{}, instances: map[string]*member{}, interned: map[string]string{}, addresses: map[string][]*member{}, costlyServices: map[string]costlyState{}, evacuated: map[string]clock.Instant{}, limits: map[string]*member{}, needLoans: map[string]*member{}, changedLimits: map[string]*member{}, byService: map[string]*pool{}, ejected: map[string]*member{}, prefillModels: map[modelKey]*prefillModel{},
		prices: map[string]price{}, overruns: map[string]Overrun{}, remoteLoads: map[string]*remoteLoad{}, slotTimes: map[string]time.Duration{}, waitingLists: map[string]*admission.WaitingList{}, prefixes: prefixIndex{holders: map[uint64][]*member{}}, lastTicket: rand.Int64N(maxFirstTicket),
	}
}

// Populated returns a channel that is closed once an endpoint was listed.
func (f *Fleet) Populated() <-chan struct{} { return f.populated }

// Put adds or updates an endpoint. It reports whether the entry is of a later start of an instance
// that was listed. An entry of an earlier start is ignored.
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
	if listed && e.Born == 0 {
		e.ID, e.Born = old.ID, old.Born // the entry does not state the start
	}
	switch {
	case !listed || old.ID == e.ID:
	case e.Born < old.Born:
		return false
	default:
		f.remove(e.Instance)
		restarted = true
	}
	m, ok := f.members[e.ID]
	if !ok {
		m = &member{seed: xxhash.Sum64String(e.Instance), notices: f.notices[e.ID]}
		f.members[e.ID], f.instances[e.Instance] = m, m
	}
	if ok && (m.Service != e.Service || m.Hall != e.Hall) {
		f.removeFromPool(m)
		ok = false
	}
	if e.Slots == 0 {
		e.Slots = m.Slots // the slots that the endpoint reported
	}
	f.unlistAddress(m)
	m.Endpoint, m.lapsesAt, m.region = e, clock.Instant{}, f.options.Regions[e.Hall]
	f.addresses[m.Address] = append(f.addresses[m.Address], m)
	f.applyCold(m, !ok)
	if !ok {
		f.poolOf(e.Service).add(m)
		m.remoteLoad = f.remoteLoadOf(e.Service)
	}
	return restarted
}

// Remove removes an endpoint at once, by its instance name.
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
	f.unlistAddress(m)
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

func (f *Fleet) endpointsOf(service string) []*member {
	if p, ok := f.byService[service]; ok {
		return p.all
	}
	return nil
}

// Lapse notes that an endpoint's entry disappeared during a store outage. The endpoint stays in use
// for a grace period.
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

// Reset replaces the list of endpoints. Endpoints that are missing from it are removed at once, or
// after the grace period if the list follows a store outage.
func (f *Fleet) Reset(list []Endpoint, afterOutage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.name()] = true
		f.put(e)
	}
	f.listRead, f.listConfirmed = true, f.options.Now()
	for instance := range f.instances {
		switch {
		case listed[instance]:
		case afterOutage:
			f.lapse(instance)
		default:
			f.remove(instance)
		}
	}
	f.dropNotices(f.options.Now())
}

// Sweep removes endpoints whose grace period is over and returns their instance names. It also forgets
// notices that are over.
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
	f.dropNotices(now)
	return removed
}

// Report records an endpoint's report of its load.
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
