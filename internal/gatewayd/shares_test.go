package gatewayd

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/gateway"
	"quaybarrow/internal/route"
	"quaybarrow/internal/settings"
	"quaybarrow/internal/share"
)

// sharingTable returns a table with an engine service "m", which calls for shares, and a service "p".
func sharingTable() *route.Table {
	toM := []route.Target{{Service: "m", Weight: 1}}
	return route.NewTable(route.Declaration{
		Version: 1, Services: []route.Service{{Name: "m", Slots: 1}, {Name: "p"}},
		Routes:     []route.Route{{Objective: time.Second, Targets: toM}, {Objective: 2 * time.Second, Targets: toM}},
		Workspaces: []route.Workspace{{Name: "weavers"}, {Name: "clerks"}},
	})
}

// sharePolicies maps test names to a setting and a table, and to whether capacity is shared.
var sharePolicies = map[string]struct {
	setting string
	table   *route.Table
	want    bool
}{
	"off by default before there is a configuration": {"", nil, false},
	"off by default":               {"", route.NewTable(route.Declaration{Version: 1}), false},
	"on where the table calls for": {"", sharingTable(), true},
	"off by the settings":          {settings.SharesOff, sharingTable(), false},
	"on by the settings":           {settings.SharesOn, route.NewTable(route.Declaration{Version: 1}), true},
}

var _ = Describe("the sharing of capacity", func() {
	for name, c := range sharePolicies {
		It("is "+name, func() {
			h := route.NewHolder()
			if c.table != nil {
				h.Apply(c.table)
			}
			p := newSharePolicy(settings.Settings{Gateway: settings.Gateway{Shares: c.setting}}, h)
			Expect(p.enabled()).To(Equal(c.want))
		})
	}

	It("follows changed settings, and keeps the last good ones when they can't be read", func() {
		var next settings.Settings
		var readErr error
		before := settings.Settings{Gateway: settings.Gateway{MemoryMB: 200, Weights: map[string]float64{"weavers": 2}}}
		h := &Host{parts: &parts{
			Ports:  Ports{Reload: func() (settings.Settings, error) { return next, readErr }},
			Policy: newSharePolicy(before, route.NewHolder()), Gateway: gateway.New(gateway.Options{}), Logger: log.New(io.Discard),
		}}
		h.current.Store(&before)
		next = before
		next.Gateway.Shares, next.Gateway.Weights = settings.SharesOn, map[string]float64{"weavers": 3}
		Expect(needsRestart(before, next)).To(BeFalse())
		h.reloadSettings(true)
		Expect(h.Policy.enabled()).To(BeTrue())
		Expect(h.Policy.weight("weavers")).To(Equal(3.0))
		Expect(h.Policy.weight("clerks")).To(Equal(1.0))
		next, readErr = settings.Settings{}, io.ErrUnexpectedEOF
		h.reloadSettings(true)
		Expect(h.Policy.enabled()).To(BeTrue())
		Expect(h.Policy.weight("weavers")).To(Equal(3.0))
	})

	It("takes an engine for one second of work in a second, and another endpoint for its slots", func() {
		f := fleet.New(fleet.Options{})
		f.Put(fleet.Endpoint{ID: "e", Service: "m", Slots: 12})
		f.Put(fleet.Endpoint{ID: "s", Service: "p", Slots: 6})
		Expect(supplyOf(f, sharingTable(), "m")).To(Equal(share.Supply{Endpoints: 1, Parallel: 1, Pace: 1}))
		Expect(supplyOf(f, sharingTable(), "p")).To(Equal(share.Supply{Endpoints: 1, Parallel: 6, Pace: 1}))
		Expect(supplyOf(f, nil, "p")).To(Equal(share.Supply{Endpoints: 1, Parallel: 6, Pace: 1}))
	})
})
