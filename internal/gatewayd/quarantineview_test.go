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

// post sends an empty body to an address; 0 if it does not answer.
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

// view asks a host what it knows of requests that endpoints crash under.
func (r *crashRig) view(host int) gatewayd.QuarantineView {
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

var _ = Describe("operators of hosts whose endpoints crash under a request", func() {
	It("see it on every host, and let it out on all of them through one", func() {
		suite.Paused(func() {
			r := newCrashRig(crashDay{path: "/once/"})
			defer r.stop()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			for i := range 5 {
				r.ask(ctx, i%crashHosts, "/once/x", crashBody)
				time.Sleep(500 * time.Millisecond)
			}
			for host := range crashHosts {
				view := r.view(host)
				Expect(view.Requests).To(HaveLen(1))
				Expect(view.Requests[0].Quarantined).To(BeTrue())
				Expect(view.Requests[0].Of).To(Equal("weavers /once/"))
				Expect(view.Requests[0].Crashes).To(Equal(3))
			}
			_, figures := r.get(0, "/metrics")
			Expect(figures).To(ContainSubstring("quaybarrow_requests_quarantined 1"))
			print := r.view(1).Requests[0].Request
			address := r.hosts[1].address(82)
			Expect(r.post(address, "/quarantine/0011/release")).To(Equal(http.StatusBadRequest))
			Expect(r.post(address, "/quarantine/00112233445566778899aabbccddeeff/release")).To(Equal(http.StatusNotFound))
			Expect(r.post(address, "/quarantine/"+print.String()+"/release")).To(Equal(http.StatusNoContent))
			time.Sleep(500 * time.Millisecond)
			for host := range crashHosts {
				Expect(r.view(host).Requests).To(BeEmpty())
			}
		})
	})
})

// get asks a host at its control address.
func (r *crashRig) get(host int, path string) (int, string) {
	s := &system{net: r.net}
	return s.get(r.hosts[host].address(82), path)
}
