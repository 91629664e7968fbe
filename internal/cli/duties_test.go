package cli

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/duty"
	"quaybarrow/internal/gatewayd"
)

// dutiesShown are views of duties and what operators read.
var dutiesShown = map[string]struct {
	view  gatewayd.DutiesView
	reads []string
}{
	"another host has them": {gatewayd.DutiesView{Host: "front-2"}, []string{"front-2 does not have the duties"}},
	"orders in force": {gatewayd.DutiesView{Host: "front-1", Holds: true, CostPerMinute: 612, Orders: []duty.ActiveOrder{
		{Service: "model", Hall: "ikeja", Count: 4, Peak: 280}, {Service: "model", Hall: "ikeja", Spot: true, Count: 8, Peak: 280},
	}}, []string{"ordinary", "spot", "280", "cost a minute: 612"}},
}

var _ = Describe("duties shown", func() {
	for name, c := range dutiesShown {
		It("tell: "+name, func() {
			var out bytes.Buffer
			Expect(writeDuties(&out, c.view)).To(Succeed())
			for _, text := range c.reads {
				Expect(out.String()).To(ContainSubstring(text))
			}
		})
	}
})
