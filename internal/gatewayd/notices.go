package gatewayd

import (
	"github.com/charmbracelet/log"

	"quaybarrow/internal/conn"
	"quaybarrow/internal/fleet"
	"quaybarrow/internal/reach"
	"quaybarrow/internal/telemetry"
	"quaybarrow/internal/upgrade"
)

// heedNotices has the parts of a host heed what endpoints ask of it. The fleet itself sends no more
// requests there.
func heedNotices(f *fleet.Fleet, p *conn.Pool, r *reach.Tracker, u *upgrade.Tracker, t *telemetry.Telemetry, l *log.Logger) {
	f.OnNotice(func(n fleet.Notice) {
		t.Count("endpoint_notices", 1, telemetry.Label("kind", string(n.Kind)), telemetry.Label("source", string(n.Source.By)))
		n.Log(l)
		if n.Service == "" {
			return // it is not listed, so nothing is open there
		}
		r.StopReuse(n.Address)
		if n.Kind == fleet.NoticeLeaving {
			p.CloseIdle(n.Address)
			u.SetVersions(n.Service, f.Versions(n.Service))
		}
	})
}

// noteRelayed records what another host heard from an endpoint over this host.
func noteRelayed(f *fleet.Fleet, n reach.Notice) {
	source := fleet.NoticeSource{By: fleet.NoticeRelayed, Request: n.Request}
	if n.Leaving {
		f.NoteLeaving(n.Endpoint, source)
	}
	if n.Pause > 0 {
		f.NotePause(n.Endpoint, n.Pause, source)
	}
}
