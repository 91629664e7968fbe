package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/route"
)

// Bounds where operators declare none.
const (
	patienceUnsaid = 30 * time.Second
	bodyBytesMost  = 8 << 20
)

// refusal is an answer that the gateway makes itself.
type refusal struct {
	status int
	reason string
	after  time.Duration // when to come back; 0 if that does not help
	close  bool          // the connection can't be used any more
}

// admit checks a request's head, finds its route and workspace and reads its
// body; it returns why the request is refused, nil if it is not.
func (x *exchange) admit() *refusal {
	x.ask = x.g.Codec.Request(x.r.Header)
	if clock.Since(x.g.began) < x.g.startPatience() {
		x.awaitStart()
	}
	if x.table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", after: configRetry}
	}
	for _, stage := range []func() *refusal{x.checkHead, x.findRoute, x.authenticate, x.checkRegions, x.readBody, x.checkQuarantine} {
		if refused := stage(); refused != nil {
			return refused
		}
	}
	x.plan()
	return nil
}

// startPatience is for how long after a host's start requests wait for what it does
// not know yet, as after a loss of power; a caller that is told to come back has one try
// less. Once the time is over nothing is known to come, and requests are refused at once.
const startPatience = 1200 * time.Millisecond

// startPatienceEach is added for each host: all start together after a loss of power, and a list of
// endpoints that grows with the hosts goes through a few of them.
const startPatienceEach = time.Millisecond

// startPatience is how long that is here.
func (g *Gateway) startPatience() time.Duration {
	if g.Hosts == nil {
		return startPatience
	}
	return startPatience + time.Duration(g.Hosts())*startPatienceEach
}

// awaitStart waits until a host that has just started can serve.
func (x *exchange) awaitStart() {
	ctx, cancel := context.WithTimeout(x.ctx, clock.Until(x.g.began.Add(x.g.startPatience())))
	defer cancel()
	for _, known := range []<-chan struct{}{x.g.Holder.Known(), x.g.Fleet.Populated()} {
		select {
		case <-known:
		case <-ctx.Done():
		}
	}
	x.table = x.g.Holder.Table()
}

// configRetry is when to come back to a host that knows no configuration yet.
const configRetry = 500 * time.Millisecond

// checkHead refuses heads that could hide a second request or are too long.
func (x *exchange) checkHead() *refusal {
	seen := headOf(x.r)
	limits := x.table.Limits()
	switch {
	case seen.problem != "":
		return &refusal{status: http.StatusBadRequest, reason: seen.problem, close: true}
	case limits.HeaderBytes > 0 && seen.bytes > limits.HeaderBytes:
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "head is too long", close: true}
	case x.ask.ID == "":
		return &refusal{status: http.StatusBadRequest, reason: "no request id", close: true}
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
	patience := patienceUnsaid
	if x.ask.Patience > 0 {
		patience = x.ask.Patience
	}
	if r.Timeout > 0 {
		patience = min(patience, r.Timeout)
	}
	x.final = x.start.Add(patience)
	x.service = r.Target(rand.Float64())
	return nil
}

// authenticate finds whose request it is.
func (x *exchange) authenticate() *refusal {
	x.urgency, x.regions = x.route.Priority, route.RegionsFor(x.route, route.Workspace{})
	if x.route.Public || !x.table.KeysRequired() {
		return nil
	}
	w, ok := x.table.Workspace(x.ask.Key)
	if !ok || x.ask.Keys != 1 {
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	x.workspace, x.regions = w.Name, route.RegionsFor(x.route, w)
	if w.Priority >= 0 {
		x.urgency = w.Priority
	}
	return nil
}

// checkRegions refuses a request that may run in no region: its route and its workspace
// allow none in common.
func (x *exchange) checkRegions() *refusal {
	if !x.regions.None() {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "route and workspace have no region in common"}
}

// readBody reads the whole body, which a second attempt may need again.
func (x *exchange) readBody() *refusal {
	limit := x.table.Limits().BodyBytes
	if limit <= 0 {
		limit = bodyBytesMost
	}
	if x.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too long", close: true}
	}
	// A caller that sends no more by the end of its time is not waited for.
	_ = http.NewResponseController(x.w).SetReadDeadline(x.final.Time())
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too long", close: true}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body can't be read", close: true}
	}
	headDone(x.r)
	x.body = body
	return nil
}

// plan derives what the choice of an endpoint goes by.
func (x *exchange) plan() {
	x.model = x.ask.Model
	if n := len(x.route.Models); n > 0 {
		x.model = x.route.Models[0]
		if x.g.begins.largest(x.route.Name) {
			x.model = x.route.Models[n-1]
		}
	}
	x.key, x.versionKey = x.keys()
	x.size = x.g.sizes.relative(x.route.Name, x.ask.TokensIn, x.ask.TokensOut)
}

// keys hash what the prompt shares with other requests, all but its last part,
// and what stays on one version: the session, if there is one.
func (x *exchange) keys() (share, version uint64) {
	share = xxhash.Sum64String(x.ask.ID)
	if n := len(x.ask.Parts); n > 1 {
		share = xxhash.Sum64String(x.ask.Parts[n-2].ID)
	}
	if x.ask.Session == "" {
		return share, share
	}
	return share, xxhash.Sum64String(x.ask.Session)
}

// affinity is the key by which endpoints are ranked: the prompt's, for a model,
// since memory of prompts is kept by model; 0 for requests without a prompt.
func (x *exchange) affinity(model string) uint64 {
	if x.route.Kind != route.KindStream || len(x.ask.Parts) == 0 {
		return 0
	}
	return x.key ^ xxhash.Sum64String(model) | 1
}

// refuse answers a request that is not sent on.
func (x *exchange) refuse(f refusal) {
	x.outcome = f.reason
	if x.gone() {
		x.abandon("caller left: " + f.reason)
	}
	h := x.w.Header()
	if f.close || !x.drained() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.g.Codec.Refuse(h, x.ask.ID, f.after)
	x.g.Telemetry.Count("refusals", 1)
	x.w.WriteHeader(f.status)
	_, _ = io.WriteString(x.w, f.reason+"\n")
}

// drained reads what is left of a request that is refused before its body was
// read, so that the connection can be used again; false if that fails.
func (x *exchange) drained() bool {
	if x.body != nil {
		return true
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(x.start.Add(drainTimeout).Time())
	_, err := io.Copy(io.Discard, http.MaxBytesReader(x.w, x.r.Body, bodyBytesMost))
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	headDone(x.r)
	return err == nil
}

// drainTimeout bounds the reading of a refused request's body.
const drainTimeout = 2 * time.Second
