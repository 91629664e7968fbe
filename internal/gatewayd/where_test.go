package gatewayd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/gatewayd"
	"quaybarrow/internal/standin/suite"
)

// where asks a host where a request would go, and returns the view without ages.
func (r *crashRig) where(host int, query string) gatewayd.WhereView {
	status, body := r.get(host, gatewayd.PathWhere+"?"+query)
	Expect(status).To(Equal(http.StatusOK), body)
	var view gatewayd.WhereView
	Expect(json.Unmarshal([]byte(body), &view)).To(Succeed())
	Expect(view.ListAgeMs).To(BeNumerically(">=", 0))
	Expect(view.ConfigAgeMs).To(BeNumerically("<", 5000))
	return view
}

// receivers counts the requests that each endpoint has received.
func (r *crashRig) receivers() map[string]int {
	counts := map[string]int{}
	for _, m := range r.machines {
		for _, e := range m.Starts() {
			for _, s := range e.Requests() {
				counts[s.EndpointID()]++
			}
		}
	}
	return counts
}

// badWhereQueries maps queries to the field that the error names.
var badWhereQueries = map[string]string{
	"":                              "service",
	"service=none":                  "service",
	"service=s&service=s":           "service",
	"service=s&workspace=none":      "workspace",
	"service=s&tokens=many":         "tokens",
	"service=s&tokens=-1":           "tokens",
	"service=s&tokens=99999999999":  "tokens",
	"service=s&tokens=5&parts=a:6":  "tokens",
	"service=s&parts=a":             "parts",
	"service=s&parts=:5":            "parts",
	"service=s&parts=a:-5":          "parts",
	"service=s&parts=a:9999999,b:2": "parts",
	"service=s&objective=0s":        "objective",
	"service=s&objective=9h":        "objective",
	"service=s&objective=1":         "objective",
	"service=s&urgency=10":          "urgency",
	"service=s&urgency=":            "urgency",
	"service=s&size=3":              "size",
	"service=s&tokens=%zz":          "query",
	"service=s&parts=" + strings.Repeat("a:1,", 256) + "a:1": "parts",
}

var _ = Describe("operators who ask a host where a request would go", func() {
	It("are told the decision, the endpoints and who decides, and nothing is sent", func() {
		suite.Paused(func() {
			r := newCrashRig(crashScenario{})
			defer r.stop()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			query := "service=model&model=small&workspace=weavers&parts=aa:100,bb:300,cc:100&objective=2s"
			first := 0 // the host that advises the others
			for r.where(first, query).Adviser != "" {
				first++
			}
			Expect(r.send(ctx, first, "/stream/x", "x")).To(Equal(http.StatusOK))
			sent := r.receivers()
			Expect(sent).To(HaveLen(1))
			view := r.where(first, query)
			Expect(view.Host).To(Equal(fmt.Sprint("front-", first)))
			Expect(view.Decision).To(Equal(gatewayd.WhereSend))
			Expect(sent).To(HaveKey(view.Endpoint))
			Expect(view.Endpoints).To(HaveLen(10))
			best := view.Endpoints[0]
			Expect(best.ID).To(Equal(view.Endpoint))
			Expect(best.KeptTokens).To(Equal(500))
			Expect(best.ReportAgeMs).To(BeNumerically(">=", 0))
			s := best.Score
			Expect(s.Queue + s.Prefill + s.Load + s.Hall + s.Reread + s.Tier + s.Busy + s.Pace).To(BeNumerically("~", s.Sum, 1e-9))
			Expect(view.Endpoints[1].PrefillTokens).To(Equal(500))
			Expect(view.Expected.InTime).To(BeNumerically(">", 0.9))
			Expect(view.Listed).To(Equal(crashMachines))
			Expect(view.PassedOver).To(HaveLen(len(fleet.Rules())))
			Expect(view.ConfigVersion).To(BeEquivalentTo(1))
			Expect(r.where(first, query).Endpoints).To(Equal(view.Endpoints))

			other := (first + 1) % crashHosts
			Expect(r.where(other, query).Adviser).To(Equal(r.hosts[first].address(83)))
			plain := r.where(other, "service=plain&urgency=3")
			Expect(plain.Adviser).To(BeEmpty(), "each host chooses alone for requests without a prompt")
			Expect(plain.Expected).To(BeNil())
			Expect(plain.Urgency).To(Equal(3))
			longer := r.where(first, "service=model&model=small&tokens=900&parts=aa:100")
			Expect(longer.Endpoints[0].KeptTokens).To(Equal(100))
			Expect(longer.Endpoints[0].PrefillTokens).To(Equal(800))
			Expect(r.receivers()).To(Equal(sent))
		})
	})

	It("are told which field of a query is bad", func() {
		withHost(okReply, func(s *system) {
			status, _ := s.get(controlAddress, gatewayd.PathWhere+"?service=s")
			Expect(status).To(Equal(http.StatusServiceUnavailable), "there is no configuration")
			s.putDeclaration()
			time.Sleep(10 * time.Millisecond)
			view := gatewayd.WhereView{}
			status, body := s.get(controlAddress, gatewayd.PathWhere+"?service=s")
			Expect(status).To(Equal(http.StatusOK))
			Expect(json.Unmarshal([]byte(body), &view)).To(Succeed())
			Expect(view.Decision).To(Equal(gatewayd.WhereNoEndpoint))
			for query, field := range badWhereQueries {
				status, body := s.get(controlAddress, gatewayd.PathWhere+"?"+query)
				Expect(status).To(Equal(http.StatusBadRequest), query)
				Expect(body).To(HavePrefix(field+": "), query)
			}
		})
	})
})
