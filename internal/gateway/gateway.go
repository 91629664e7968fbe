// Package gateway serves routed requests. It routes them by host name and path to a
// service's endpoints, without interpreting their content, and relays the endpoints' responses.
//
// # Usage
//
//	g := gateway.New(gateway.Options{Holder: holder, Fleet: f, Pool: pool, Codec: codec, ...})
//	server := g.Server()
//	err := server.Serve(g.Wrap(listener))
//
// A request passes through stages: its header is checked, its route and workspace are found, its
// body is read, and it is sent to endpoints until one responds or its time, its attempts or the
// retry budget run out. What a caller is told about whether a request ran is true: 503 is used
// only where the request has not run and will not. Only the codec knows a platform's header field
// names.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"quaybarrow/internal/advice"
	"quaybarrow/internal/bound"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/ratelimit"
	"quaybarrow/internal/reach"
	"quaybarrow/internal/retry"
	"quaybarrow/internal/route"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/upgrade"
	"quaybarrow/internal/usage"
)

// Options set up a Gateway.
type Options struct {
	Holder   *route.Holder
	Fleet    *fleet.Fleet
	Pool     *conn.Pool
	Upgrades *upgrade.Tracker
	Codec    Codec
	Advice   *advice.Advisor // advice on endpoints for long prompts; nil for none
	// Quarantine tracks the requests that make endpoints crash.
	Quarantine *quarantine.Tracker
	// RateLimits makes all hosts together send suspect requests one after the other; nil for no bound.
	RateLimits *ratelimit.Limiter
	// Relays tells hosts that relay connections what they must heed; nil if none do.
	Relays    *reach.Tracker
	Deadlines *clock.Deadlines // watched by the host
	// Stalls notices when the host does not run for a while; nil if it always does.
	Stalls    *clock.Stalls
	Telemetry *telemetry.Telemetry
	Logger    *log.Logger
	// HostCount returns the number of all hosts that this host knows of; nil for this host alone.
	HostCount func() int
	// Shares admits requests by the shares of their workspaces; nil to admit all.
	Shares Shares
	// Usage counts the requests that start to run; nil to count none.
	Usage *usage.Counter
	// SharesCapacity reports whether capacity is shared among workspaces and kinds of requests; nil if
	// the configuration alone says so.
	SharesCapacity func() bool
	// ResponseMemory bounds the incomplete events and bodies that the host holds; nil bounds them by the process's
	// memory limit.
	ResponseMemory *bound.Memory
	// RetryRatio bounds retries to a fraction of the first sends.
	RetryRatio float64
}

// Gateway serves routed requests.
type Gateway struct {
	Options
	retryBudgets       *retry.Budgets
	sizes              *requestSizes
	streamSpans        *routeMeans // seconds that responses take from their first event on
	routeWork          *routeMeans // seconds of endpoint time of a request of mean size
	firstModels        *firstModels
	startedAt          clock.Instant // when the host started
	draining           atomic.Bool
	stopsAt            atomic.Pointer[clock.Instant] // when requests in flight are cut; nil until StopTaking
	serving            context.Context               // ends with CutOff
	endServing         context.CancelFunc
	inFlight           atomic.Int64
	running            *runningCounter
	unreadableLimitLog *rate.Sometimes // limits logging of limits that can't be parsed
	changedLimitLog    *rate.Sometimes // limits logging of limits that have changed
	unreachedLog       *rate.Sometimes // limits logging of endpoints that are not reached
	unreadablePauseLog *rate.Sometimes // limits logging of pauses that can't be parsed
	unknownFields      *unknownFields
}

// retryReserve is how many retries a host may make in the window without any first sends: the
// platform's reserve for all hosts together, some fifty, stays unspent.
const retryReserve = 2

// New returns a gateway.
func New(options Options) *Gateway {
	if options.ResponseMemory == nil {
		options.ResponseMemory = bound.NewMemory(bound.ProcessLimit)
	}
	serving, endServing := context.WithCancel(context.Background())
	return &Gateway{
		Options:            options,
		serving:            serving,
		endServing:         endServing,
		sizes:              newRequestSizes(),
		streamSpans:        newRouteMeans(),
		routeWork:          newRouteMeans(),
		firstModels:        newFirstModels(),
		running:            newRunningCounter(),
		startedAt:          clock.Now(),
		unreadableLimitLog: newLogSampler(),
		changedLimitLog:    newLogSampler(),
		unreachedLog:       &rate.Sometimes{Interval: unreachedLogInterval},
		unreadablePauseLog: newLogSampler(),
		unknownFields:      &unknownFields{},
		retryBudgets:       retry.NewBudgets(retry.Limits{Ratio: options.RetryRatio, Reserve: retryReserve}),
	}
}

// Ready reports whether the gateway can serve, and if not, why.
func (g *Gateway) Ready() (bool, string) {
	switch {
	case g.draining.Load():
		return false, "draining"
	case g.Holder.Table() == nil:
		return false, "no configuration yet"
	case g.Fleet.Size() == 0:
		return false, "no endpoints yet"
	default:
		return true, ""
	}
}

// SetRetryRatio changes the bound on retries.
func (g *Gateway) SetRetryRatio(ratio float64) { g.retryBudgets.SetRatio(ratio) }

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// exchange is the state of a request as it passes through the stages.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	start    clock.Instant
	deadline clock.Instant // the caller gets its response by then
	table    *route.Table
	route    route.Route
	header   RequestHeader
	service  string

	workspace    string
	regions      route.Regions // whose endpoints may run the request
	urgency      int           // at endpoints
	order        int           // among requests that wait or compete for capacity
	overShare    bool          // some requests of its class are refused for the share of its workspace
	body         []byte
	bodyLate     bool    // the body did not come before the deadline
	relativeSize float64 // size of prompt and response, relative to its route's mean
	prefixKey    uint64  // hash of the prompt prefix that it shares with others
	versionKey   uint64  // hash of what stays on one version
	share        float64 // fraction of the requests of its class that are admitted

	work time.Duration // endpoint time of the attempts that have ended, as far as it is known

	adviceOutcome        string        // outcome of the last advice
	rejections           int           // sends that endpoints have not run
	placesDenied         int           // how often an endpoint that was chosen had no place
	waits                int           // how often it was told to wait for its turn
	roomIn               time.Duration // until there should be capacity, if it was refused for lack of it
	sends                int           // how often it was written to an endpoint
	tried                []string
	conns                []conn.ID // over which it was sent
	mayHaveRun           bool      // some endpoint may have run it, or may still do so
	outcome              string
	attempt              *attempt // the last one; nil before the first
	endpoint             string
	relayedBy            string // host that relayed the last attempt; empty if none did
	model                string
	events               int
	headerDelay          time.Duration     // until the header of the response that the caller got; 0 if none
	lastHeaderDelay      time.Duration     // of the last attempt, from its sending to its response header
	expected             fleet.Expectation // of the last attempt, as it was sent
	longestPause         time.Duration     // longest time between two events that the caller got
	shortestPause        time.Duration     // shortest time between two events of the last attempt
	version              string            // of the last attempt's endpoint
	escalated            bool              // a larger model was asked
	counted              bool              // it has started to run, and was counted
	crashes              int               // number of endpoints that crashed while they ran it
	refusedAsQuarantined bool              // it was refused because it makes endpoints crash
	quarantineRule       quarantine.Rule   // by which it was last let through or refused
	// maySendSuspect permits one send of the request, though it may make endpoints crash.
	maySendSuspect bool
	// fingerprint identifies the request when it comes again. It is computed when it is first
	// needed.
	fingerprint func() quarantine.Fingerprint
	// identity has all by which the request is known when endpoints crash under it or under parts of its
	// prompt. It is computed when it is first needed.
	identity    func() quarantine.Request
	sharedParts func() []quarantine.Part // the parts of identity
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, ctx: r.Context(), start: clock.Now(), table: g.Holder.Table(), urgency: noUrgency, share: 1}
	x.fingerprint, x.identity = sync.OnceValue(x.computeFingerprint), sync.OnceValue(x.computeIdentity)
	x.sharedParts = sync.OnceValue(x.computeParts)
	defer x.logRequest()
	defer x.endPanic()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if refused := x.admit(); refused != nil {
		x.refuse(*refused)
		return
	}
	ctx, cancel := x.g.Deadlines.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	defer context.AfterFunc(g.serving, cancel)()
	x.ctx = ctx
	x.serve()
}

// noUrgency stands for an urgency that is left to the endpoint.
const noUrgency = -1

// serve sends the request to endpoints and responds to the caller.
func (x *exchange) serve() {
	x.g.retryBudgets.RecordFirst(x.service)
	x.g.running.add(x.service, 1)
	defer x.g.running.add(x.service, -1)
	defer x.recordWork()
	if x.route.Kind == route.KindStream {
		x.serveStream()
		return
	}
	x.serveUnary()
}

// timeLeft returns the time left until the request's deadline.
func (x *exchange) timeLeft() time.Duration { return clock.Until(x.deadline) }

// callerGone reports whether the caller has disconnected. The server ends the context of a request whose body
// it can't read, also if that has only come too late.
func (x *exchange) callerGone() bool { return x.r.Context().Err() != nil && !x.bodyLate }

// logRequest writes the log line about a request.
func (x *exchange) logRequest() {
	took := clock.Since(x.start)
	x.g.Telemetry.Observe("routed_request", took, telemetry.Label("kind", x.route.Kind.String()), telemetry.Label("outcome", x.outcome))
	version := int64(0)
	if x.table != nil {
		version = x.table.Version()
	}
	age, _ := x.g.Holder.Age()
	x.g.Logger.Info("request",
		"id", x.header.ID, "route", x.route.Name, "service", x.service, "workspace", x.workspace,
		"config", version, "config_age_ms", age.Milliseconds(),
		"endpoint", x.endpoint, "relayed_by", x.relayedBy, "version", x.version, "upgrade", x.g.Upgrades.State(x.service).String(), "model", x.model, "larger", x.escalated, "urgency", x.urgency, "share", x.share,
		"sends", x.sends, "rejections", x.rejections, "places_denied", x.placesDenied, "crashes", x.crashes, "fingerprint", x.loggedFingerprint(), "quarantine_rule", x.quarantineRule, "waits", x.waits, "room_in_ms", x.roomIn.Milliseconds(), "advice", x.adviceOutcome,
		"tokens", x.header.TokensIn, "read", x.expected.PrefillTokens, "work_ms", x.expected.PrefillTime.Milliseconds(), "price", x.expected.Price,
		"first_ms", x.headerDelay.Milliseconds(), "objective_ms", x.route.Objective.Milliseconds(),
		"head_ms", x.lastHeaderDelay.Milliseconds(), "expected_ms", x.expected.Head.Milliseconds(), "queue_ms", x.expected.Queue.Milliseconds(),
		"events", x.events, "pause_ms", x.longestPause.Milliseconds(), "gap_ms", x.route.MaxEventGap.Milliseconds(), "shortest_us", x.shortestPause.Microseconds(),
		"took_ms", took.Milliseconds(), "outcome", x.outcome)
}
