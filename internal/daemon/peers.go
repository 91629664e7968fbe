package daemon

import (
	"context"

	"quaybarrow/internal/membership"
	"quaybarrow/internal/peer"
	"quaybarrow/internal/quarantine"
)

// peerHandler handles calls from other hosts; it implements peer.Handler.
type peerHandler struct{ host *Host }

// Ping implements peer.Handler.
func (p *peerHandler) Ping(_ context.Context, s peer.Status) (peer.Status, error) {
	return p.host.Membership.HandlePing(s), nil
}

// Fetch implements peer.Handler.
func (p *peerHandler) Fetch(_ context.Context, above int64) (peer.RevisionMessage, error) {
	return p.host.Distributor.Fetch(above)
}

// Push implements peer.Handler.
func (p *peerHandler) Push(ctx context.Context, push peer.Push) ([]peer.Confirmation, error) {
	return p.host.Distributor.Push(ctx, push)
}

// Hold implements peer.Handler.
func (p *peerHandler) Hold(ctx context.Context, hold peer.Hold) error {
	return p.host.Ledger.Hold(ctx, hold)
}

// Grant implements peer.Handler.
func (p *peerHandler) Grant(_ context.Context, grant peer.Grant) error {
	p.host.Credits.Grant(grant)
	return nil
}

// Show implements peer.Handler.
func (p *peerHandler) Show(_ context.Context, query peer.Query) (peer.Reply, error) {
	if query.Subject == membership.QueryHosts {
		return p.host.Membership.HandleListQuery(query.ID)
	}
	return p.host.Queries.Answer(query)
}

// Tell implements peer.Handler.
func (p *peerHandler) Tell(ctx context.Context, n quarantine.Update) (quarantine.Update, error) {
	return p.host.Quarantine.HandleUpdate(ctx, n)
}
