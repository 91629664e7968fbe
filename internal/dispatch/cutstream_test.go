package dispatch_test

import (
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

var _ = Describe("a stream that is cut", func() {
	// Guards against a part of a stream that is passed on as the whole.
	It("at any byte before its end marker is not whole", func() {
		for _, end := range []string{"\n", "\r\n"} {
			whole := "id: 1" + end + "data: {}" + end + end + "data: [DONE]" + end + end
			for cut := range len(whole) + 1 {
				suite.Paused(func() {
					script := firstThen(standin.Reply{Status: http.StatusOK, Body: whole[:cut], Unsized: true}, standin.Reply{Status: http.StatusNotFound})
					p := newPair(endpoint.EngineService, script)
					defer p.close()
					_, err := p.stream()
					Expect(err == io.EOF).To(Equal(cut == len(whole)), "%q: %v", whole[:cut], err) //nolint:errorlint // identity tells the end
				})
			}
		}
	})
})
