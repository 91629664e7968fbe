package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/gatewayd"
	"quaybarrow/internal/quarantine"
)

var _ = Describe("the command quarantine", func() {
	print := quarantine.Identity{Workspace: "weavers", Target: "POST a.example /x"}.Fingerprint()
	view := gatewayd.QuarantineView{Host: "front-1", Requests: []gatewayd.QuarantineRequest{
		{Request: print, Label: "weavers again", Quarantined: true, Crashes: 3, Chance: 1e-6, LastMsAgo: 4000}, {Label: "dyers once", Crashes: 2, Chance: 0.01},
	}}

	// run asks a host that answers so.
	run := func(status int, release string) (string, string, error) {
		asked := ""
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked = r.Method + " " + r.URL.Path
			w.WriteHeader(status)
			if status != http.StatusNoContent {
				Expect(json.NewEncoder(w).Encode(view)).To(Succeed())
			}
		}))
		defer server.Close()
		var out bytes.Buffer
		c := &quarantineCommand{env: Environment{Stdout: &out}, release: release}
		err := c.run(context.Background(), []string{strings.TrimPrefix(server.URL, "http://")})
		return out.String(), asked, err
	}

	It("shows requests in quarantine and those that may come there", func() {
		text, _, err := run(http.StatusOK, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(MatchRegexp(`(?m)^` + print.String() + ` +quarantined +weavers again +3 crashes, the last 4s ago +by chance 1e-06$`))
		Expect(text).To(MatchRegexp(`(?m)^0+ +watched +dyers once +2 crashes`))
	})

	It("lets one out", func() {
		text, asked, err := run(http.StatusNoContent, print.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(asked).To(Equal("POST /quarantine/" + print.String() + "/release"))
		Expect(text).To(ContainSubstring("released " + print.String()))
	})

	It("tells what is wrong", func() {
		_, _, err := run(http.StatusNotFound, print.String())
		Expect(err).To(MatchError(ContainSubstring("404")))
		c := &quarantineCommand{env: Environment{Stdout: &bytes.Buffer{}}}
		Expect(c.run(context.Background(), nil)).To(MatchError(errUsage))
	})
})
