package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/fleet"
	"quaybarrow/internal/gatewayd"
)

var _ = Describe("the command where", func() {
	sent := gatewayd.WhereView{
		Host: "front-1", Service: "model", Decision: gatewayd.WhereSend, Endpoint: "e1", Adviser: "10.0.0.1:83", Note: "a note",
		Expected: &gatewayd.WhereExpected{HeadMs: 120, QueueMs: 20, InTime: 0.93},
		Endpoints: []gatewayd.WhereEndpoint{
			{ID: "e1", Hall: "lekki", Version: "v1", Score: gatewayd.WhereScore{Sum: 0.25, Queue: 0.02, Prefill: 0.23}, KeptTokens: 400, Slots: 8, ReportAgeMs: 30},
			{ID: "e2", Hall: "ikeja", Version: "v1", Score: gatewayd.WhereScore{Sum: 1000.1, Tier: 1000, Hall: 0.1}, Slots: 8, ReportAgeMs: -1},
		},
		PassedOver: map[fleet.Rule]int{fleet.RuleDraining: 2, fleet.RuleCold: 0, fleet.RuleEjected: 1}, Listed: 5, Sampled: true, ListAgeMs: 40, ConfigVersion: 7,
	}

	// ask runs the command against a host that answers so, and returns the exit code, the outputs and the query.
	ask := func(status int, view gatewayd.WhereView, args ...string) (code int, out, problems string, query url.Values) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.URL.Path).To(Equal(gatewayd.PathWhere))
			query = r.URL.Query()
			w.WriteHeader(status)
			if status != http.StatusOK {
				_, _ = w.Write([]byte("tokens: bad"))
				return
			}
			Expect(json.NewEncoder(w).Encode(view)).To(Succeed())
		}))
		defer server.Close()
		var stdout, stderr bytes.Buffer
		args = append(append([]string{"where"}, args...), strings.TrimPrefix(server.URL, "http://"))
		code = Run(context.Background(), args, Environment{Stdout: &stdout, Stderr: &stderr, Getenv: func(string) string { return "" }})
		return code, stdout.String(), stderr.String(), query
	}

	It("passes on what is stated and prints the decision and the terms of the scores", func() {
		code, out, _, query := ask(http.StatusOK, sent, "-service", "model", "-parts", "a:100,b:300", "-objective", "2s", "-urgency", "0", "-tokens", "500")
		Expect(code).To(BeZero())
		Expect(query).To(Equal(url.Values{"service": {"model"}, "parts": {"a:100,b:300"}, "objective": {"2s"}, "urgency": {"0"}, "tokens": {"500"}}))
		Expect(out).To(ContainSubstring("host front-1, service model: send to e1\nwho would decide: 10.0.0.1:83, which advises this host\nnote: a note\n"))
		Expect(out).To(ContainSubstring("configuration 7, 0 ms old; list of endpoints 40 ms old"))
		Expect(out).To(ContainSubstring("after 120 ms, of these 20 ms in the queue; in time with probability 0.93"))
		Expect(out).To(MatchRegexp(`(?m)^e1 +lekki +v1 +0\.250 +0\.020 +0\.230 .* 400 +8 +30 ms$`))
		Expect(out).To(MatchRegexp(`(?m)^e2 +ikeja +v1 +1000\.100 .* none$`))
		Expect(out).To(ContainSubstring("random sample"))
		Expect(out).To(HaveSuffix("passed over of 5: 2 draining, 1 ejected\n"))
	})

	It("prints the host's answer as JSON when asked", func() {
		code, out, _, query := ask(http.StatusOK, sent, "-json", "-service", "model")
		Expect(code).To(BeZero())
		Expect(query.Get("service")).To(Equal("model"))
		var view gatewayd.WhereView
		Expect(json.Unmarshal([]byte(out), &view)).To(Succeed())
		Expect(view).To(Equal(sent))
	})

	decisions := map[string]gatewayd.WhereView{
		"send to e1 behind all requests that can be in time":     {Decision: gatewayd.WhereBehind, Endpoint: "e1"},
		"wait at the host, decide again in 50 ms":                {Decision: gatewayd.WhereWait, WaitMs: 50},
		"refuse, room is expected in 200 ms":                     {Decision: gatewayd.WhereRefuse, WaitMs: 200},
		"refuse":                                                 {Decision: gatewayd.WhereRefuse},
		"no endpoint, all want a pause, the first for 9 ms more": {Decision: gatewayd.WherePaused, WaitMs: 9},
		"no endpoint":                                            {Decision: gatewayd.WhereNoEndpoint},
	}
	for text, view := range decisions {
		It("says "+text, func() {
			_, out, _, _ := ask(http.StatusOK, view, "-service", "model")
			Expect(out).To(MatchRegexp(`(?m): ` + text + "$"))
			Expect(out).To(ContainSubstring("who would decide: this host alone"))
			Expect(out).To(HaveSuffix("passed over of 0: none\n"))
		})
	}

	It("tells what the host finds wrong with the flags", func() {
		code, _, problems, query := ask(http.StatusBadRequest, sent, "-service", "model", "-tokens", "-1")
		Expect(code).To(Equal(1))
		Expect(query.Get("tokens")).To(Equal("-1"))
		Expect(problems).To(ContainSubstring("400 Bad Request: tokens: bad"))
	})
})
