package gateway

import (
	"time"

	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/route"
)

// Inquiry describes a request that is not sent, to report where it would go.
type Inquiry struct {
	Service   string
	Workspace route.Workspace // zero if none is stated
	Model     string
	Tokens    int          // of the prompt
	Parts     []PromptPart // of the prompt; without any, the request has no prompt
	Objective time.Duration
	Urgency   int // -1 if not stated
}

// Where reports where a request that arrived now would go, as far as this host knows. It changes
// nothing, and does not consider the workspace's share.
func (g *Gateway) Where(q Inquiry) fleet.Placement {
	return g.Fleet.Where(g.inquiryExchange(q).placeRequest(q.Model, 0))
}

// inquiryExchange returns the state of a request that has just arrived as an inquiry describes it.
func (g *Gateway) inquiryExchange(q Inquiry) *exchange {
	x := &exchange{
		g: g, start: clock.Now(), table: g.Holder.Table(), service: q.Service, model: q.Model, urgency: q.Urgency,
		route: route.Route{Kind: route.KindStream, Objective: q.Objective, Priority: max(q.Urgency, 0)}, header: RequestHeader{Model: q.Model, TokensIn: q.Tokens, Parts: q.Parts},
	}
	x.deadline = x.start.Add(defaultTimeout)
	x.regions = route.RegionsFor(x.route, q.Workspace)
	x.order = x.waitingOrder(q.Workspace)
	x.prefixKey, x.versionKey = x.routingKeys()
	return x
}
