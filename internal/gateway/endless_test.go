package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/bound"
	"quaybarrow/internal/standin/suite"
	"quaybarrow/platform/standin"
)

// Parts of responses without end.
const (
	burst        = 4 << 10 // bytes between two pauses of an endpoint
	burstPause   = time.Millisecond
	chunkedField = "Transfer-Encoding: chunked\r\n\r\n"
	infoHead     = "HTTP/1.1 103 Early Hints\r\n\r\n"
	// surplus covers the bytes that a host reads into its buffers beyond a bound.
	surplus = 16 << 10
)

// many repeats a text until it fills a burst.
func many(text string) string { return strings.Repeat(text, burst/len(text)) }

// chunked returns a text as a chunk of a body.
func chunked(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// endlessCases are responses without end that a host must not read on. Each is sent in answer to the first
// attempt.
var endlessCases = map[string]struct {
	script  standin.Endless
	stream  bool
	maxRead int
	place   string // counted; empty if the response is invalid rather than too long
}{
	"a status line":               {standin.Endless{Start: "HTTP/1.1 200 O", Repeat: many("K")}, false, 64 << 10, "head"},
	"bytes that are no response":  {standin.Endless{Repeat: many("\x00")}, false, 64 << 10, "head"},
	"a header line":               {standin.Endless{Status: 200, Start: "X-Long: ", Repeat: many("x")}, false, 64 << 10, "head"},
	"header lines":                {standin.Endless{Status: 200, Repeat: many("X-More: y\r\n")}, false, 8 << 10, "head"},
	"long header lines":           {standin.Endless{Status: 200, Repeat: "X-More: " + many("y") + "\r\n"}, false, 64 << 10, "head"},
	"continued header lines":      {standin.Endless{Status: 200, Start: "X-More: y\r\n", Repeat: many(" y\r\n")}, false, 8 << 10, "head"},
	"informational responses":     {standin.Endless{Repeat: many(infoHead)}, false, 8 << 10, "skipped"},
	"an informational header":     {standin.Endless{Start: "HTTP/1.1 103 Early Hints\r\nX: ", Repeat: many("y")}, false, 64 << 10, "head"},
	"a skipped sized body":        {standin.Endless{Start: standin.StrayHead + "Content-Length: 99999999999\r\n\r\n", Repeat: many("z")}, false, 64 << 10, "skipped"},
	"a skipped body of chunks":    {standin.Endless{Start: standin.StrayHead + chunkedField, Repeat: chunked(many("z"))}, false, 64 << 10, "skipped"},
	"a skipped body":              {standin.Endless{Start: standin.StrayHead + "\r\n", Repeat: many("z")}, false, 64 << 10, "skipped"},
	"skipped responses":           {standin.Endless{Repeat: many(standin.StrayHead + "Content-Length: 1\r\n\r\nz")}, false, 8 << 10, "skipped"},
	"an extension of a chunk":     {standin.Endless{Status: 200, Start: chunkedField + "5;x=", Repeat: many("y")}, false, 8 << 10, ""},
	"extensions of chunks":        {standin.Endless{Status: 200, Start: chunkedField, Repeat: many("1;x=" + strings.Repeat("y", 1000) + "\r\nz\r\n")}, false, 64 << 10, ""},
	"a trailer":                   {standin.Endless{Status: 200, Start: chunkedField + "1\r\nx\r\n0\r\nX: ", Repeat: many("y")}, false, 8 << 10, ""},
	"trailers":                    {standin.Endless{Status: 200, Start: chunkedField + "1\r\nx\r\n0\r\n", Repeat: many("X: y\r\n")}, false, 8 << 10, ""},
	"an event":                    {standin.Endless{Status: 200, Start: chunkedField, Repeat: chunked(many("data"))}, true, 1<<20 + 64<<10, "event"},
	"lines of an event":           {standin.Endless{Status: 200, Start: "\r\n", Repeat: many("data: x\n")}, true, 1 << 20, "event"},
	"a header line of a stream":   {standin.Endless{Status: 200, Start: "X-Long: ", Repeat: many("x")}, true, 64 << 10, "head"},
	"an error's body to a stream": {standin.Endless{Status: 500, Start: "\r\n", Repeat: many("x")}, true, 256 << 10, ""},
	"an error's body":             {standin.Endless{Status: 500, Start: "\r\n", Repeat: many("x")}, false, 256 << 10, ""},
}

var _ = Describe("a response without end", func() {
	for name, c := range endlessCases {
		c.script.Pause = burstPause
		path, endpoints := "/again/1", []string{"plain-1", "plain-2"}
		then := standin.Script(good)
		if c.stream {
			path, endpoints, then = "/stream/1", []string{"model-1", "model-2"}, confident
		}

		// Guards against a host that reads on until its memory or the request's time is spent.
		It("is cut off at its bound, and a repeatable request runs elsewhere: "+name, func() {
			suite.Paused(func() {
				both := between(c.script, then)
				r := newRig(scripts{endpoints[0]: both, endpoints[1]: both})
				defer r.stop()
				q := request("POST", path, "body")
				if c.stream {
					q = q.WithPrompt()
				}
				start := time.Now()
				a := r.ask(q)
				Expect(a.Err).NotTo(HaveOccurred())
				Expect(a.Status).To(Equal(http.StatusOK))
				Expect(time.Since(start)).To(BeNumerically("<", time.Second))
				Expect(r.runs()).To(Equal(2))
				time.Sleep(time.Second)
				first := r.endlessRequest()
				Expect(first.Ended.Sub(start)).To(BeNumerically("<", time.Second))
				Expect(first.Sent).To(BeNumerically("<=", c.maxRead+surplus))
				if c.place != "" {
					Expect(r.log.text()).To(ContainSubstring("response exceeds its bound"))
					Expect(r.log.text()).To(ContainSubstring("place=" + c.place))
					Expect(r.metrics()).To(ContainSubstring(`quaybarrow_endless_responses_total{place="` + c.place + `"} 1`))
				}
			})
		})
	}

	// Guards against a second run of a request that may run once only.
	It("fails a request that may run once only", func() {
		suite.Paused(func() {
			both := standin.Always(standin.Endless{Repeat: many("x"), Pause: burstPause})
			r := newRig(scripts{"plain-1": both, "plain-2": both})
			defer r.stop()
			a := r.ask(request("POST", "/once/1", "x"))
			Expect(a.Status).To(Equal(http.StatusBadGateway))
			Expect(r.runs()).To(Equal(1))
		})
	})

	// Guards against an endpoint that keeps getting requests while all its responses are endless.
	It("counts as a failure of its endpoint", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(standin.Endless{Repeat: many("x"), Pause: burstPause})})
			defer r.stop()
			for range 5 {
				r.ask(request("POST", "/once/1", "x"))
			}
			Expect(r.fleet.View()[0].Ready).To(BeFalse())
		})
	})

	// Guards against a head whose bytes keep coming one at a time and so never count as silence.
	It("may not begin slower than a silent one", func() {
		suite.Paused(func() {
			both := between(standin.Endless{Start: "HTTP/1.1 200 OK\r\nX: ", Repeat: "y", Pause: 10 * time.Millisecond}, good)
			r := newRig(scripts{"plain-1": both, "plain-2": both})
			defer r.stop()
			start := time.Now()
			Expect(r.ask(request("POST", "/again/1", "x")).Status).To(Equal(http.StatusOK))
			Expect(time.Since(start)).To(BeNumerically("<", 300*time.Millisecond))
		})
	})

	// Guards against a drip of bytes that holds a request beyond its deadline, or leaves the endpoint well.
	It("ends at the deadline if its head keeps coming, and counts as a failure", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(standin.Endless{Start: "HTTP/1.1 200 OK\r\nX: ", Repeat: "y", Pause: 10 * time.Millisecond})})
			defer r.stop()
			start := time.Now()
			Expect(r.ask(request("POST", "/once/1", "x")).Status).To(Equal(http.StatusGatewayTimeout))
			Expect(time.Since(start)).To(Equal(2 * time.Second))
			for range 4 {
				r.ask(request("POST", "/once/1", "x"))
			}
			Expect(r.fleet.View()[0].Ready).To(BeFalse())
		})
	})

	// Guards against an endpoint that is taken for well while its answers never arrive whole.
	It("fails at the deadline if its body keeps coming a little at a time, and counts as a failure", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(standin.Endless{Status: 200, Start: "\r\n", Repeat: "x", Pause: 10 * time.Millisecond})})
			defer r.stop()
			for range 5 {
				start := time.Now()
				Expect(r.ask(request("POST", "/once/1", "x")).Status).To(Equal(http.StatusGatewayTimeout))
				Expect(time.Since(start)).To(BeNumerically("<=", 2*time.Second))
			}
			Expect(r.fleet.View()[0].Ready).To(BeFalse())
		})
	})

	for name, start := range map[string]string{"sized": "Content-Length: 99999999999\r\n\r\n", "unsized": "\r\n", "in chunks": chunkedField} {
		repeat := many("x")
		if start == chunkedField {
			repeat = chunked(repeat)
		}
		// Guards against a short answer that looks complete, and a request that outlives its deadline.
		It("is passed on until the deadline and then cut, if it may be an answer: "+name, func() {
			suite.Paused(func() {
				r := newRig(scripts{"plain-1": standin.Always(standin.Endless{Status: 200, Start: start, Repeat: repeat, Pause: burstPause})})
				defer r.stop()
				begin := time.Now()
				a := r.ask(request("POST", "/once/1", "x"))
				Expect(a.Status).To(Equal(http.StatusOK))
				Expect(a.Err).To(HaveOccurred())
				Expect(time.Since(begin)).To(Equal(2 * time.Second))
				for range 4 {
					r.ask(request("POST", "/once/1", "x"))
				}
				Expect(r.fleet.View()[0].Ready).To(BeFalse())
			})
		})
	}

	// Guards against a caller that reads nothing and so keeps the request and its endpoint for good.
	It("ends at the deadline if its caller reads nothing, which is no failure of the endpoint", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(standin.Endless{Status: 200, Start: "\r\n", Repeat: many("x"), Pause: burstPause})})
			defer r.stop()
			c := r.call()
			defer func() { _ = c.Close() }()
			c.send(request("POST", "/once/1", "x").Text())
			time.Sleep(2500 * time.Millisecond)
			Expect(r.gateway.InFlight()).To(BeZero())
			Expect(r.endpoints["plain-1"].Requests()[0].Sent).To(BeNumerically("<=", 256<<10+2*surplus))
			Expect(r.fleet.View()[0].Ready).To(BeTrue())
		})
	})

	// Guards against bounds that cut long answers which are legitimate.
	It("is told from a long answer, which passes whole to a caller that reads slowly", func() {
		suite.Paused(func() {
			long := strings.Repeat("0123456789abcdef", 64<<10)
			r := newRig(scripts{"plain-1": standin.Always(standin.Reply{Status: 200, Body: long}), "model-1": standin.Always(standin.Reply{Status: 404, Body: long})})
			defer r.stop()
			for _, q := range []standin.Request{request("POST", "/once/1", "x"), prompt("/stream/1")} {
				c := r.call()
				c.reader.Reset(slowReader{c.Conn})
				c.send(q.Text())
				a := c.read()
				Expect(a.Err).NotTo(HaveOccurred())
				Expect(a.Body == long).To(BeTrue())
				_ = c.Close()
			}
			Expect(r.ask(request("POST", "/once/1", "x")).Body == long).To(BeTrue())
		})
	})

	// Guards against a stream that stands still while the host reads another endpoint's garbage.
	It("does not delay the streams of other callers", func() {
		suite.Paused(func() {
			paced := standin.Always(standin.Stream{Events: 5, Confidence: -1, Gap: 100 * time.Millisecond})
			r := newRig(scripts{"model-1": paced, "plain-1": standin.Always(standin.Endless{Status: 200, Start: "\r\n", Repeat: many("x"), Pause: burstPause})})
			defer r.stop()
			for range 4 {
				go r.ask(request("POST", "/once/1", "x"))
			}
			start := time.Now()
			Expect(r.ask(prompt("/fixed/1")).Body).To(Equal(events(1, 5, "*")))
			Expect(time.Since(start)).To(Equal(500 * time.Millisecond))
		})
	})

	// Guards against a host that keeps a connection on which bytes come that belong to no request.
	It("that follows a whole one is not read, and its connection is closed", func() {
		suite.Paused(func() {
			r := newRig(scripts{"plain-1": standin.Always(standin.Endless{Status: 200, Start: "Content-Length: 4\r\n\r\ndone" + many("x"), Repeat: many("x"), Pause: burstPause})})
			defer r.stop()
			for range 2 {
				a := r.ask(request("POST", "/once/1", "x"))
				Expect(a.Status).To(Equal(http.StatusOK))
				Expect(a.Body).To(Equal("done"))
			}
			time.Sleep(time.Second)
			Expect(r.endpoints["plain-1"].Connections()).To(Equal(2))
			Expect(r.endlessRequest().Sent).To(BeNumerically("<=", surplus))
		})
	})

	const firstEvent = "\r\nid: 1\ndata: a\n\n"
	for name, largest := range map[string]standin.Endless{
		"its own":     {Status: 200, Start: firstEvent, Repeat: many("x"), Pause: burstPause},
		"another one": {Status: 200, Start: firstEvent + strings.Repeat("x", 70<<10), Repeat: "x", Pause: 15 * time.Second},
	} {
		// Guards against streams that together hold more than their part of the host's memory, and against
		// a small one that ends for a large one, also while the large one awaits data.
		It("ends first where it holds the most, once the bytes of a stream exceed all events' memory: "+name, func() {
			suite.Paused(func() {
				slow := standin.Endless{Status: 200, Start: firstEvent, Repeat: strings.Repeat("x", 256), Pause: 10 * burstPause}
				r := newRig(scripts{"model-1": func(_ int, q *http.Request) standin.Script {
					if strings.HasSuffix(q.URL.Path, "/largest") {
						return largest
					}
					return slow
				}})
				defer r.stop()
				r.gateway.ResponseMemory = bound.NewMemory(func() int64 { return 130 << 10 })
				start := time.Now()
				ended := make(chan string, 2)
				for _, name := range []string{"slow", "largest"} {
					go func() {
						defer GinkgoRecover()
						a := r.ask(prompt("/fixed/" + name))
						Expect(a.Err).To(HaveOccurred())
						ended <- name
					}()
				}
				Expect(<-ended).To(Equal("largest"))
				Expect(time.Since(start)).To(BeNumerically("<", 200*time.Millisecond))
				Expect(r.log.text()).To(ContainSubstring("place=event"))
				Expect(<-ended).To(Equal("slow"))
				Expect(time.Since(start)).To(BeNumerically(">", time.Second))
				Expect(r.gateway.ResponseMemory.Total()).To(BeZero())
			})
		})
	}

	// Guards against bodies that are each within their bound and take a host's memory together.
	It("is held back only as far as all bodies' memory goes, and short answers are served beside", func() {
		suite.Paused(func() {
			const requests, memory = 100, 512 << 10
			r := newRig(scripts{
				"plain-1": func(_ int, q *http.Request) standin.Script {
					if strings.HasSuffix(q.URL.Path, "/short") {
						return good
					}
					return standin.Endless{Status: 200, Start: "\r\n", Repeat: many("x"), Pause: burstPause}
				},
			})
			defer r.stop()
			r.gateway.ResponseMemory = bound.NewMemory(func() int64 { return memory })
			for range requests {
				c := r.call() // its caller reads nothing
				defer func() { _ = c.Close() }()
				c.send(request("POST", "/open/long", "x").Text())
			}
			time.Sleep(time.Second)
			read := 0
			for _, e := range r.endpoints["plain-1"].Requests() {
				read += e.Sent
			}
			Expect(r.gateway.ResponseMemory.Total()).To(BeNumerically("<=", memory))
			Expect(r.ask(request("POST", "/open/short", "x")).Body).To(Equal("done"))
			time.Sleep(5 * time.Second) // all requests have ended
			for _, e := range r.endpoints["plain-1"].Requests() {
				read += e.Sent
			}
			Expect(read).To(BeNumerically(">", requests*(4<<10)))
			Expect(read).To(BeNumerically("<=", memory+requests*2*surplus))
			Expect(r.gateway.ResponseMemory.Total()).To(BeZero())
		})
	})

	// Guards against reuse of a connection on which a rejection goes on, and against a wait for its end.
	It("that rejects a request is not read on, and its connection is closed", func() {
		suite.Paused(func() {
			both := between(standin.Endless{Status: 503, Start: standin.NotRunField + "Content-Length: 99999999\r\n\r\n", Repeat: "x", Pause: burstPause}, good)
			r := newRig(scripts{"plain-1": both, "plain-2": both})
			defer r.stop()
			start := time.Now()
			Expect(r.ask(request("POST", "/once/1", "x")).Status).To(Equal(http.StatusOK))
			Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))
			time.Sleep(time.Second)
			Expect(r.endlessRequest().Ended.Sub(start)).To(BeNumerically("<", 100*time.Millisecond))
		})
	})
})

// slowReader reads a little at a time, with pauses.
type slowReader struct {
	from interface{ Read([]byte) (int, error) }
}

// Read implements io.Reader.
func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return s.from.Read(p[:min(len(p), burst)])
}

// endlessRequest returns the request that was answered without end.
func (r *rig) endlessRequest() standin.ReceivedRequest {
	for _, e := range r.endpoints {
		for _, q := range e.Requests() {
			if q.Sent > 0 {
				return q
			}
		}
	}
	return standin.ReceivedRequest{}
}

// metrics returns the gateway's metrics as operators read them.
func (r *rig) metrics() string {
	var b strings.Builder
	Expect(r.gateway.Telemetry.WriteText(&b)).To(Succeed())
	return b.String()
}
