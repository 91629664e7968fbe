package gateway_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

var _ = Describe("a limit that an endpoint announces", func() {
	It("ends only with a response that the endpoint has sealed", func() {
		suite.Paused(func() {
			var bare atomic.Bool
			r := newRig(scripts{"plain-1": func(int, *http.Request) standin.Script {
				return standin.Reply{Status: 200, Body: "done", Bare: bare.Load()}
			}})
			defer r.stop()
			limitedAfter := func() int {
				time.Sleep(time.Second)
				r.ask(request("POST", "/once/1", "x"))
				return r.fleet.LimitedCount()
			}
			r.endpoints["plain-1"].SetLimit(2)
			Expect(limitedAfter()).To(Equal(1))
			r.endpoints["plain-1"].SetLimitText("")
			bare.Store(true)
			Expect(limitedAfter()).To(Equal(1))
			bare.Store(false)
			Expect(limitedAfter()).To(BeZero())
			Expect(r.log.text()).To(ContainSubstring("endpoint names no limit any more"))
		})
	})
})
