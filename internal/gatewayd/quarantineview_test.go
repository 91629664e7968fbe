package gatewayd_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/gatewayd"
	"quaybarrow/internal/standin/suite"
)

// post sends a POST request with an empty body and returns the status, or 0 if there is no response.
func (r *crashRig) post(address, path string) int {
	client := &http.Client{Transport: r.net.Transport()}
	defer client.CloseIdleConnections()
	answer, err := client.Post("http://"+address+path, "", http.NoBody)
	if err != nil {
		return 0
	}
	defer func() { _ = answer.Body.Close() }()
	return answer.StatusCode
}

// quarantineView fetches a host's view of requests that crash endpoints.
func (r *crashRig) quarantineView(host int) gatewayd.QuarantineView {
	client := &http.Client{Transport: r.net.Transport()}
	defer client.CloseIdleConnections()
	answer, err := client.Get("http://" + r.hosts[host].address(82) + gatewayd.PathQuarantine)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	var view gatewayd.QuarantineView
	Expect(json.Unmarshal(data, &view)).To(Succeed())
	return view
}

var _ = Describe("operators, when a request crashes endpoints", func() {
	It("see it on every host, and release it on all hosts through one", func() {
		suite.Paused(func() {
			r := newCrashRig(crashScenario{path: "/once/"})
			defer r.stop()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			for i := range 5 {
				r.send(ctx, i%crashHosts, "/once/x", crashBody)
				time.Sleep(500 * time.Millisecond)
			}
			for host := range crashHosts {
				view := r.quarantineView(host)
				Expect(view.Requests).To(HaveLen(1))
				Expect(view.Requests[0].Quarantined).To(BeTrue())
				Expect(view.Requests[0].Label).To(Equal("weavers /once/"))
				Expect(view.Requests[0].Crashes).To(Equal(3))
			}
			_, metrics := r.get(0, "/metrics")
			Expect(metrics).To(ContainSubstring("quaybarrow_requests_quarantined 1"))
			fingerprint := r.quarantineView(1).Requests[0].Request
			address := r.hosts[1].address(82)
			Expect(r.post(address, "/quarantine/0011/release")).To(Equal(http.StatusBadRequest))
			Expect(r.post(address, "/quarantine/00112233445566778899aabbccddeeff/release")).To(Equal(http.StatusNotFound))
			Expect(r.post(address, "/quarantine/"+fingerprint.String()+"/release")).To(Equal(http.StatusNoContent))
			time.Sleep(500 * time.Millisecond)
			for host := range crashHosts {
				Expect(r.quarantineView(host).Requests).To(BeEmpty())
			}
		})
	})
})

// get sends a GET request to a host's control address.
func (r *crashRig) get(host int, path string) (int, string) {
	s := &system{net: r.net}
	return s.get(r.hosts[host].address(82), path)
}
