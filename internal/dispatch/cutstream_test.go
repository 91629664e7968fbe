package dispatch_test

import (
	"context"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/endpoint"
	"quaybarrow/internal/problem"
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

// Each guards against a body that states no end, was cut by a crash of its endpoint, and passes for whole.
var _ = Describe("a body without a length that a crash cuts", func() {
	cut := standin.Stream{Events: 3, CrashAfter: 1, Unsized: true}

	It("is no answer to a call, and a repeatable one runs again", func() {
		suite.Paused(func() {
			for _, repeatable := range []bool{true, false} {
				p := newPair("payouts", firstThen(cut, standin.Reply{Status: http.StatusOK, Body: "done"}))
				response, err := p.call(repeatable)
				if repeatable {
					Expect(err).NotTo(HaveOccurred())
					Expect(string(response.Body)).To(Equal("done"))
				} else {
					Expect(problem.Of(err).Run).To(Equal(problem.Unknown))
				}
				p.close()
			}
		})
	})

	It("is told from one that its endpoint has ended", func() {
		suite.Paused(func() {
			p := newPair("payouts", standin.Always(standin.Reply{Status: http.StatusOK, Body: "done", Unsized: true}))
			defer p.close()
			response, err := p.call(false)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(response.Body)).To(Equal("done"))
		})
	})

	It("is no completion", func() {
		suite.Paused(func() {
			p := newPair(endpoint.EngineService, standin.Always(cut))
			defer p.close()
			s, err := p.open(context.Background())
			Expect(err).NotTo(HaveOccurred())
			defer s.Close()
			_, err = s.ReadAll()
			Expect(problem.Of(err).Code).To(Equal(problem.CodeCut))
		})
	})
})
