// Package gateway serves routed requests: opaque ones that go by host name and
// path to a service's endpoints, and come back as the endpoint answered them.
//
// # Usage
//
//	g := gateway.New(gateway.Options{Holder: holder, Fleet: f, Pool: pool, Codec: codec, ...})
//	server := g.Server()
//	err := server.Serve(g.Wrap(listener))
//
// A request passes through stages: its head is checked, its route and workspace
// are found, its body is read, and it is sent to endpoints until one answers it
// or its time, its attempts or the retry budget end. What a caller is told about
// whether a request ran is true: 503 only where it has not and will not. Nothing
// outside the codec knows a platform's names.
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
	"quaybarrow/internal/clock"
	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/quarantine"
	"quaybarrow/internal/ratelimit"
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
	Advice   *advice.Advisor // on endpoints for long prompts; nil for none
	// Quarantine knows requests under which endpoints crash.
	Quarantine *quarantine.Book
	// Limits has suspect requests sent one after the other by all hosts together; nil for no bound.
	Limits    *ratelimit.Desk
	Deadlines *clock.Deadlines // watched by the host
	Telemetry *telemetry.Telemetry
	Logger    *log.Logger
	// Hosts counts all hosts, as far as this one knows; nil for this one alone.
	Hosts func() int
	// Usage counts the requests that begin; nil where nobody asks.
	Usage *usage.Counter
	// RetryRatio bounds repeats to a part of the first sends.
	RetryRatio float64
}

// Gateway serves routed requests.
type Gateway struct {
	Options
	budgets  *retry.Budgets
	sizes    *sizes
	spans    *means // seconds that answers take from their first event on
	begins   *beginnings
	began    clock.Instant // when the host started
	draining atomic.Bool
	inFlight atomic.Int64
	running  *running
	unread   *rate.Sometimes // lines about limits that can't be read
	changed  *rate.Sometimes // lines about limits that have changed
}

// retryReserve is how many repeats a host may make in the window without any first
// sends: the platform's reserve for all hosts together, some fifty, stays unspent.
const retryReserve = 2

// New returns a gateway.
func New(options Options) *Gateway {
	return &Gateway{Options: options, sizes: newSizes(), spans: newMeans(), begins: newBeginnings(), running: newRunning(), began: clock.Now(), unread: sometimes(), changed: sometimes(),
		budgets: retry.NewBudgets(retry.Limits{Ratio: options.RetryRatio, Reserve: retryReserve})}
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

// Drain makes the gateway not ready; callers are told to close connections.
func (g *Gateway) Drain() { g.draining.Store(true) }

// SetRetryRatio bounds repeats from now on.
func (g *Gateway) SetRetryRatio(ratio float64) { g.budgets.SetRatio(ratio) }

// InFlight counts the requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// exchange is a request on its way through the stages.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	start   clock.Instant
	final   clock.Instant // the caller gets its answer by then
	table   *route.Table
	route   route.Route
	ask     Ask
	service string

	workspace  string
	regions    route.Regions // whose endpoints may run it
	urgency    int
	body       []byte
	size       float64 // of the prompt and the answer, relative to its route's mean
	key        uint64  // of the prompt that it shares with others
	versionKey uint64  // of what stays on one version

	advice     string        // what came of the last advice
	rejections int           // of the sends, those that endpoints have not run
	waits      int           // times that it was told to wait for its turn
	room       time.Duration // until there should be room for it, if it was refused for that
	sends      int           // requests written to endpoints
	tried      []string
	mayRun     bool // some endpoint may have run it, or may yet
	outcome    string
	endpoint   string
	model      string
	events     int
	first      time.Duration     // until the head of the answer that the caller got; 0 if it got none
	head       time.Duration     // until the head of the last attempt's answer, from its sending
	expected   fleet.Expectation // of the last attempt, as it was sent
	pause      time.Duration     // longest time between two events that the caller got
	shortest   time.Duration     // shortest one of the last attempt
	version    string            // of the last attempt's endpoint
	larger     bool              // a larger model was asked
	counted    bool              // it has begun to run, and was counted
	crashes    int               // of endpoints while it ran there
	held       bool              // it was refused since endpoints crash under it
	stranded   bool              // no endpoint took it
	// suspectTurn tells that it may be sent once though endpoints may crash under it.
	suspectTurn bool
	// fingerprint is that by which the request is known when it comes again; it is hashed when
	// it is first asked for.
	fingerprint func() quarantine.Fingerprint
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, ctx: r.Context(), start: clock.Now(), table: g.Holder.Table(), urgency: unsaid}
	x.fingerprint = sync.OnceValue(x.hash)
	defer x.log()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if refused := x.admit(); refused != nil {
		x.refuse(*refused)
		return
	}
	ctx, cancel := x.g.Deadlines.WithDeadline(x.ctx, x.final)
	defer cancel()
	x.ctx = ctx
	x.serve()
}

// unsaid stands for an urgency that is left to the endpoint.
const unsaid = -1

// serve sends the request to endpoints and answers it.
func (x *exchange) serve() {
	x.g.budgets.First(x.service)
	x.g.running.add(x.service, 1)
	defer x.g.running.add(x.service, -1)
	if x.route.Kind == route.KindStream {
		x.serveStream()
		return
	}
	x.serveWhole()
}

// left is the time until the caller gets its answer.
func (x *exchange) left() time.Duration { return clock.Until(x.final) }

// gone reports whether the caller has left.
func (x *exchange) gone() bool { return x.r.Context().Err() != nil }

// log writes the line about a request.
func (x *exchange) log() {
	took := clock.Since(x.start)
	x.g.Telemetry.Observe("routed_request", took, telemetry.Label("kind", x.route.Kind.String()), telemetry.Label("outcome", x.outcome))
	version := int64(0)
	if x.table != nil {
		version = x.table.Version()
	}
	age, _ := x.g.Holder.Age()
	x.g.Logger.Info("request",
		"id", x.ask.ID, "route", x.route.Name, "service", x.service, "workspace", x.workspace,
		"config", version, "config_age_ms", age.Milliseconds(),
		"endpoint", x.endpoint, "version", x.version, "upgrade", x.g.Upgrades.Standing(x.service).String(), "model", x.model, "larger", x.larger, "urgency", x.urgency,
		"sends", x.sends, "rejections", x.rejections, "crashes", x.crashes, "fingerprint", x.known(), "waits", x.waits, "advice", x.advice,
		"tokens", x.ask.TokensIn, "read", x.expected.Read, "work_ms", x.expected.Work.Milliseconds(), "price", x.expected.Price,
		"first_ms", x.first.Milliseconds(), "objective_ms", x.route.Objective.Milliseconds(),
		"head_ms", x.head.Milliseconds(), "expected_ms", x.expected.Head.Milliseconds(), "queue_ms", x.expected.Queue.Milliseconds(),
		"events", x.events, "pause_ms", x.pause.Milliseconds(), "gap_ms", x.route.Gap.Milliseconds(), "shortest_us", x.shortest.Microseconds(),
		"took_ms", took.Milliseconds(), "outcome", x.outcome)
}
