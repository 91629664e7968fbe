package gateway

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/route"
)

// Bounds that apply where operators declare none.
const (
	defaultTimeout      = 30 * time.Second
	defaultMaxBodyBytes = 8 << 20
)

// refusal is a response that the gateway itself produces.
type refusal struct {
	status     int
	reason     string
	outcome    string        // for metrics, from a fixed set; empty if that is the reason
	retryAfter time.Duration // when to retry; 0 if that does not help
	closeConn  bool          // the connection can't be used any more
}

// admit checks a request's header, finds its route and workspace, and reads its body. It returns
// why the request is refused; nil if it is not.
func (x *exchange) admit() *refusal {
	x.header = x.g.Codec.ParseRequest(x.r.Header)
	if clock.Since(x.g.startedAt) < x.g.startupWait() {
		x.awaitStartup()
	}
	if x.table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: configRetryAfter}
	}
	for _, stage := range []func() *refusal{x.checkHeader, x.findRoute, x.authenticate, x.checkRegions, x.readBody, x.checkStop, x.checkQuarantine} {
		if refused := stage(); refused != nil {
			return refused
		}
	}
	x.planRouting()
	return x.checkShare()
}

// baseStartupWait is how long after a host's start requests wait for state that the host does not
// have yet, as after a power loss; a caller that is told to retry has one try less. After that time
// nothing is known to arrive, and requests are refused at once.
const baseStartupWait = 1200 * time.Millisecond

// startupWaitPerHost is added for each host: all hosts start together after a power loss, and a
// list of endpoints that grows with the number of hosts passes through a few of them.
const startupWaitPerHost = time.Millisecond

// startupWait returns how long requests wait after the start of this host.
func (g *Gateway) startupWait() time.Duration {
	if g.HostCount == nil {
		return baseStartupWait
	}
	return baseStartupWait + time.Duration(g.HostCount())*startupWaitPerHost
}

// awaitStartup waits until a host that has just started can serve.
func (x *exchange) awaitStartup() {
	ctx, cancel := context.WithTimeout(x.ctx, clock.Until(x.g.startedAt.Add(x.g.startupWait())))
	defer cancel()
	known := []<-chan struct{}{x.g.Holder.Loaded(), x.g.Fleet.Populated()}
	if x.g.RateLimits != nil {
		known = append(known, x.g.RateLimits.Fetched())
	}
	for _, known := range known {
		select {
		case <-known:
		case <-ctx.Done():
		}
	}
	x.table = x.g.Holder.Table()
}

// configRetryAfter is when to retry at a host that has no configuration yet.
const configRetryAfter = 500 * time.Millisecond

// checkHeader refuses headers that could hide a second request or are too long.
func (x *exchange) checkHeader() *refusal {
	info := inspectHeader(x.r)
	limits := x.table.Limits()
	switch {
	case info.problem != "":
		return &refusal{status: http.StatusBadRequest, reason: info.problem, closeConn: true}
	case limits.HeaderBytes > 0 && info.bytes > limits.HeaderBytes:
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head is too long", closeConn: true}
	case x.header.ID == "":
		return &refusal{status: http.StatusBadRequest, reason: "no request id", closeConn: true}
	default:
		return nil
	}
}

// findRoute finds the route and how long the request may take.
func (x *exchange) findRoute() *refusal {
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = x.r.URL.EscapedPath()
	}
	r, ok := x.table.Match(x.r.Host, path)
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	x.route = r
	timeout := defaultTimeout
	if x.header.Timeout > 0 {
		timeout = x.header.Timeout
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	x.deadline = x.start.Add(timeout)
	x.service = r.Target(rand.Float64())
	return nil
}

// authenticate finds the request's workspace by its API key.
func (x *exchange) authenticate() *refusal {
	none := route.Workspace{Priority: route.NoPriority}
	x.urgency, x.order, x.regions = x.route.Priority, x.waitingOrder(none), route.RegionsFor(x.route, none)
	if x.route.Public || !x.table.KeysRequired() {
		return nil
	}
	w, ok := x.table.Workspace(x.header.APIKey)
	if !ok || x.header.APIKeyCount != 1 {
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	x.workspace, x.regions = w.Name, route.RegionsFor(x.route, w)
	x.order = x.waitingOrder(w)
	if w.Priority >= 0 {
		x.urgency = w.Priority
	}
	return nil
}

// checkRegions refuses a request that may run in no region, because its route and its workspace
// allow none in common.
func (x *exchange) checkRegions() *refusal {
	if !x.regions.None() {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "route and workspace have no region in common"}
}

// readBody reads the whole body, since a second attempt may need it again.
func (x *exchange) readBody() *refusal {
	limit := x.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too long", closeConn: true}
	}
	// Stop waiting at the deadline for a caller that sends no more.
	_ = http.NewResponseController(x.w).SetReadDeadline(x.deadline.Time())
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err == nil {
		// Otherwise the deadline stays, for the server tries to read the rest before it closes the connection.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	}
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too long", closeConn: true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.bodyLate = true
		return &refusal{status: http.StatusRequestTimeout, reason: "body did not come in time", closeConn: true}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body can't be read", closeConn: true}
	}
	markRequestRead(x.r)
	x.body = body
	return nil
}

// planRouting derives the inputs to the choice of an endpoint.
func (x *exchange) planRouting() {
	x.model = x.header.Model
	if n := len(x.route.Models); n > 0 {
		x.model = x.route.Models[0]
		if x.g.firstModels.startWithLargest(x.route.Name) {
			x.model = x.route.Models[n-1]
		}
	}
	x.prefixKey, x.versionKey = x.routingKeys()
	x.relativeSize = x.g.sizes.relative(x.route.Name, x.header.TokensIn, x.header.TokensOut)
}

// routingKeys returns the hash of the prompt prefix that other requests share, which is all but its
// last part, and the hash of what stays on one version: the session, if there is one.
func (x *exchange) routingKeys() (prefix, versionKey uint64) {
	prefix = xxhash.Sum64String(x.header.ID)
	if n := len(x.header.Parts); n > 1 {
		prefix = xxhash.Sum64String(x.header.Parts[n-2].ID)
	}
	if x.header.Session == "" {
		return prefix, prefix
	}
	return prefix, xxhash.Sum64String(x.header.Session)
}

// affinityKey returns the key by which endpoints are ranked: the prompt's key for a model, since
// prompt caches are kept by model. It is 0 for requests without a prompt.
func (x *exchange) affinityKey(model string) uint64 {
	if x.route.Kind != route.KindStream || len(x.header.Parts) == 0 {
		return 0
	}
	return x.prefixKey ^ xxhash.Sum64String(model) | 1
}

// refuse responds to a request that is not forwarded.
func (x *exchange) refuse(f refusal) {
	x.outcome = cmp.Or(f.outcome, f.reason)
	if x.callerGone() {
		x.abort("caller left: " + x.outcome)
	}
	h := x.w.Header()
	if f.closeConn || !x.drainBody() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.g.Codec.SetRefusal(h, x.header.ID, f.retryAfter)
	x.g.Telemetry.Count("refusals", 1)
	x.w.WriteHeader(f.status)
	_, _ = io.WriteString(x.w, f.reason+"\n")
}

// drainBody reads the rest of a request that is refused before its body was read, so that the
// connection can be reused. It returns false if that fails.
func (x *exchange) drainBody() bool {
	if x.body != nil {
		return true
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(x.start.Add(drainTimeout).Time())
	_, err := io.Copy(io.Discard, http.MaxBytesReader(x.w, x.r.Body, defaultMaxBodyBytes))
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	markRequestRead(x.r)
	return err == nil
}

// drainTimeout bounds the reading of a refused request's body.
const drainTimeout = 2 * time.Second
