package advice

import (
	"quaybarrow/internal/admission"
	"quaybarrow/internal/advice/advicepb"
	"quaybarrow/internal/clock"
	"quaybarrow/internal/fleet"
)

//nolint:gosec // requests at an endpoint and tokens of a prompt are far fewer
func headToWire(h fleet.HeadReport) *advicepb.Head {
	return &advicepb.Head{
		Endpoint: h.Endpoint, Ticket: h.Ticket, Service: h.Service, Model: h.Model, TookMicros: h.Took.Microseconds(), ExpectedMicros: h.Expected.Microseconds(), QueueMicros: h.Queue.Microseconds(), Urgency: int32(h.Urgency), Refused: h.Refused,
		Read: int32(h.PrefillTokens), Sure: h.Exact, Running: int32(h.Load.Running), Waiting: int32(h.Load.Waiting), Slots: int32(h.Load.Slots), Pace: h.Load.Pace,
	}
}

func headFromWire(w *advicepb.Head) fleet.HeadReport {
	return fleet.HeadReport{
		Endpoint: w.GetEndpoint(), Ticket: w.GetTicket(), Service: w.GetService(), Model: w.GetModel(), Took: clock.Micros(w.GetTookMicros()), Expected: clock.Micros(w.GetExpectedMicros()), Queue: clock.Micros(w.GetQueueMicros()), Urgency: int(w.GetUrgency()), Refused: w.GetRefused(),
		PrefillTokens: int(w.GetRead()), Exact: w.GetSure(), Load: fleet.Load{Running: int(w.GetRunning()), Waiting: int(w.GetWaiting()), Slots: int(w.GetSlots()), Pace: w.GetPace()},
	}
}

// decisionToWire encodes the decision on a request in a reply.
func decisionToWire(d admission.Decision, reply *advicepb.ChooseReply) {
	switch v := d.(type) {
	case admission.Behind:
		reply.Behind = true
	case admission.Wait:
		reply.WaitMicros, reply.Turn = v.For.Microseconds(), v.Turn
	case admission.Refuse:
		reply.Refused, reply.AfterMicros = true, v.After.Microseconds()
	case admission.Paused: // a host that advises does not apply its own pauses to others
	case admission.Send, nil:
	}
}

func decisionFromWire(reply *advicepb.ChooseReply) admission.Decision {
	switch {
	case reply.GetRefused():
		return admission.Refuse{After: clock.Micros(reply.GetAfterMicros())}
	case reply.GetWaitMicros() > 0:
		return admission.Wait{For: clock.Micros(reply.GetWaitMicros()), Turn: reply.GetTurn()}
	case reply.GetBehind():
		return admission.Behind{}
	default:
		return admission.Send{}
	}
}

func expectationToWire(e fleet.Expectation) *advicepb.Expectation {
	return &advicepb.Expectation{
		HeadMicros: e.Head.Microseconds(), QueueMicros: e.Queue.Microseconds(), WorkMicros: e.PrefillTime.Microseconds(), Read: int32(e.PrefillTokens), Sure: e.Exact, Price: e.Price, //nolint:gosec // prompts are far shorter
		OverrunMean: e.Overrun.Mean, OverrunVariance: e.Overrun.Variance,
	}
}

func expectationFromWire(w *advicepb.Expectation) fleet.Expectation {
	return fleet.Expectation{
		Head: clock.Micros(w.GetHeadMicros()), Queue: clock.Micros(w.GetQueueMicros()), PrefillTime: clock.Micros(w.GetWorkMicros()),
		PrefillTokens: int(w.GetRead()), Exact: w.GetSure(), Price: w.GetPrice(), Overrun: fleet.Overrun{Mean: w.GetOverrunMean(), Variance: w.GetOverrunVariance()},
	}
}

// limitsToWire encodes the known rate limits of endpoints. Times are relative to now, the time of
// sending.
func limitsToWire(limits []fleet.LimitUpdate, now clock.Instant) []*advicepb.Limit {
	var wire []*advicepb.Limit
	for _, n := range limits {
		heard, since := n.Ages(now)
		wire = append(wire, &advicepb.Limit{
			Endpoint: n.Endpoint, PerSecond: n.Rate, HeardMicros: heard.Microseconds(), SinceMicros: since.Microseconds(),
		})
	}
	return wire
}

// applyLimits passes the rate limits that another host knows to the fleet.
func applyLimits(f *fleet.Fleet, limits []*advicepb.Limit) {
	now := clock.Now()
	for _, w := range limits {
		f.MergeLimit(fleet.NewLimitUpdate(w.GetEndpoint(), w.GetPerSecond(), clock.Micros(w.GetHeardMicros()), clock.Micros(w.GetSinceMicros()), now))
	}
}

func partsToWire(parts []fleet.Part) []*advicepb.Part {
	wire := make([]*advicepb.Part, len(parts))
	for i, p := range parts {
		wire[i] = &advicepb.Part{Id: p.ID, Tokens: int32(p.Tokens)} //nolint:gosec // prompts are far shorter
	}
	return wire
}

func partsFromWire(wire []*advicepb.Part) []fleet.Part {
	parts := make([]fleet.Part, len(wire))
	for i, p := range wire {
		parts[i] = fleet.Part{ID: p.GetId(), Tokens: int(p.GetTokens())}
	}
	return parts
}
