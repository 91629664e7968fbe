package rpc

import (
	"time"

	"quaybarrow/internal/peer"
	"quaybarrow/internal/peer/peerpb"
)

// Conversions between peer messages and their protobuf types.

func statusToWire(s peer.Status) *peerpb.Status {
	return &peerpb.Status{
		Host: s.Host, DataHall: s.DataHall, Region: s.Region, Address: s.Address, Incarnation: s.Incarnation,
		Revision: s.Revision, AgeMicros: s.Age.Microseconds(), Confirmed: s.Confirmed, Draining: s.Draining,
	}
}

func statusFromWire(s *peerpb.Status) peer.Status {
	return peer.Status{
		Host: s.GetHost(), DataHall: s.GetDataHall(), Region: s.GetRegion(), Address: s.GetAddress(),
		Incarnation: s.GetIncarnation(), Revision: s.GetRevision(),
		Age: time.Duration(s.GetAgeMicros()) * time.Microsecond, Confirmed: s.GetConfirmed(), Draining: s.GetDraining(),
	}
}

func revisionToWire(m peer.RevisionMessage) *peerpb.RevisionMessage {
	return &peerpb.RevisionMessage{Number: m.Number, Data: m.Data}
}

func revisionFromWire(m *peerpb.RevisionMessage) peer.RevisionMessage {
	return peer.RevisionMessage{Number: m.GetNumber(), Data: m.GetData()}
}

func pushToWire(p peer.Push) *peerpb.PushRequest {
	request := &peerpb.PushRequest{Revision: revisionToWire(p.Revision)}
	for _, t := range p.Relay {
		request.Relay = append(request.Relay, &peerpb.Target{Host: t.Host, Address: t.Address})
	}
	return request
}

func pushFromWire(r *peerpb.PushRequest) peer.Push {
	p := peer.Push{Revision: revisionFromWire(r.GetRevision())}
	for _, t := range r.GetRelay() {
		p.Relay = append(p.Relay, peer.Target{Host: t.GetHost(), Address: t.GetAddress()})
	}
	return p
}

func confirmationsToWire(confirmations []peer.Confirmation) *peerpb.PushReply {
	reply := &peerpb.PushReply{}
	for _, c := range confirmations {
		reply.Confirmations = append(reply.Confirmations, &peerpb.Confirmation{Host: c.Host, Revision: c.Revision})
	}
	return reply
}

func confirmationsFromWire(r *peerpb.PushReply) []peer.Confirmation {
	var confirmations []peer.Confirmation
	for _, c := range r.GetConfirmations() {
		confirmations = append(confirmations, peer.Confirmation{Host: c.GetHost(), Revision: c.GetRevision()})
	}
	return confirmations
}

func holdToWire(h peer.Hold) *peerpb.HoldRequest {
	return &peerpb.HoldRequest{
		Owner: h.Owner, Incarnation: h.Incarnation, Address: h.Address,
		Open: h.Open, Closed: h.Closed, Known: int64(h.Known),
	}
}

func holdFromWire(r *peerpb.HoldRequest) peer.Hold {
	return peer.Hold{
		Owner: r.GetOwner(), Incarnation: r.GetIncarnation(), Address: r.GetAddress(),
		Open: r.GetOpen(), Closed: r.GetClosed(), Known: int(r.GetKnown()),
	}
}

func grantToWire(g peer.Grant) *peerpb.GrantRequest {
	return &peerpb.GrantRequest{Plan: g.Plan, Epoch: g.Epoch, Serial: g.Serial, Credits: int64(g.Credits), TimeoutMicros: g.Timeout.Microseconds()}
}

func grantFromWire(r *peerpb.GrantRequest) peer.Grant {
	return peer.Grant{Plan: r.GetPlan(), Epoch: r.GetEpoch(), Serial: r.GetSerial(), Credits: int(r.GetCredits()), Timeout: time.Duration(r.GetTimeoutMicros()) * time.Microsecond}
}

func queryToWire(q peer.Query) *peerpb.ShowRequest {
	return &peerpb.ShowRequest{Subject: q.Subject, SinceMicros: q.Since.Microseconds(), Id: q.ID}
}

func queryFromWire(r *peerpb.ShowRequest) peer.Query {
	return peer.Query{
		Subject: r.GetSubject(), Since: time.Duration(r.GetSinceMicros()) * time.Microsecond, ID: r.GetId(),
	}
}
