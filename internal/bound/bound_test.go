package bound_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"quaybarrow/internal/bound"
)

// heads are heads of responses and whether they are within the bounds.
var heads = map[string]struct {
	text   string
	within bool
}{
	"a head of as many lines as may be": {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", bound.HeadLines-1) + "\r\n", true},
	"a head of a line more":             {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", bound.HeadLines) + "\r\n", false},
	"a head of as many bytes as may be": {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", bound.HeadBytes-24) + "\r\n\r\n", true},
	"a head of a byte more":             {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", bound.HeadBytes-23) + "\r\n\r\n", false},
	"a head without carriage returns":   {"HTTP/1.1 200 OK\nX: y\n\n", true},
}

var _ = Describe("a head", func() {
	for name, c := range heads {
		// Guards against bounds that are off by one, that a split of the bytes changes, or that the body
		// after the head counts towards.
		It("is read only within its bounds: "+name, func() {
			for _, split := range []func(io.Reader) io.Reader{iotest.OneByteReader, func(r io.Reader) io.Reader { return r }} {
				body := strings.Repeat("b\n", bound.HeadBytes)
				head := bound.NewHeadReader(split(strings.NewReader(c.text + body)))
				reader := bufio.NewReader(head)
				head.Begin(nil)
				response, err := http.ReadResponse(reader, nil) //nolint:bodyclose // a text has no connection
				head.End()
				if !c.within {
					Expect(err).To(HaveOccurred())
					Expect(bound.IsExceeded(head.Err())).To(BeTrue())
					continue
				}
				Expect(err).NotTo(HaveOccurred())
				Expect(head.Err()).NotTo(HaveOccurred())
				Expect(head.Begun()).To(BeTrue())
				got, err := io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(string(got) == body).To(BeTrue())
			}
		})
	}

	// Guards against a head that escapes its bound because its first bytes came with the last response.
	It("counts the bytes that were read before", func() {
		head := bound.NewHeadReader(strings.NewReader("x"))
		head.Begin([]byte(strings.Repeat("y", bound.HeadBytes+1)))
		Expect(bound.IsExceeded(head.Err())).To(BeTrue())
		_, err := head.Read(make([]byte, 1))
		Expect(bound.IsExceeded(err)).To(BeTrue())
	})
})

// FuzzHead checks that a head that is parsed ends where its reader takes it to end: otherwise bytes of a
// body would count towards the head, or bytes of a head towards nothing.
func FuzzHead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n\r\nrest")
	f.Add("HTTP/1.1 200 OK\n\t\n\r\r\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		head := bound.NewHeadReader(iotest.OneByteReader(strings.NewReader(text)))
		head.Begin(nil)
		response, err := http.ReadResponse(bufio.NewReader(head), nil)
		if head.Err() != nil && len(text) < bound.HeadBytes && strings.Count(text, "\n") < bound.HeadLines {
			t.Fatalf("%q is within the bounds", text)
		}
		if bound.IsExceeded(err) && head.Err() == nil {
			t.Fatalf("%q ends elsewhere for its parser", text)
		}
		if err == nil {
			_ = response.Body.Close()
		}
	})
}

var _ = Describe("the memory of all events", func() {
	// Guards against a large holder that makes small ones end, and against one that ends twice.
	It("ends the largest holder when the limit is exceeded", func() {
		m := bound.NewMemory(func() int64 { return 100 })
		ended := map[string]int{}
		holder := func(name string) *bound.Holder { return m.NewHolder(bound.PlaceEvent, func() { ended[name]++ }) }
		small, large, last := holder("small"), holder("large"), holder("last")
		Expect(small.Resize(20)).To(Succeed())
		Expect(large.Resize(70)).To(Succeed())
		Expect(last.Resize(30)).To(Succeed())
		Expect(ended).To(Equal(map[string]int{"large": 1}))
		Expect(large.Ended()).To(BeTrue())
		Expect(bound.IsExceeded(large.Err())).To(BeTrue())
		Expect(bound.IsExceeded(large.Resize(80))).To(BeTrue())
		Expect(m.Total()).To(Equal(int64(50)))
		large.Release()
		Expect(m.Total()).To(Equal(int64(50)))
	})

	It("tells a holder that is itself the largest by the error alone", func() {
		m := bound.NewMemory(func() int64 { return 100 })
		h := m.NewHolder(bound.PlaceEvent, func() { Fail("ended from its own call") })
		Expect(bound.IsExceeded(h.Resize(101))).To(BeTrue())
		Expect(m.Total()).To(BeZero())
	})

	// Guards against bytes that are counted twice or never given back.
	It("is the sum of what is held, and never above the limit", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			limit := rapid.Int64Range(0, 1000).Draw(t, "limit")
			m := bound.NewMemory(func() int64 { return limit })
			holders := make([]*bound.Holder, 5)
			held := make([]int64, len(holders))
			for i := range holders {
				holders[i] = m.NewHolder(bound.PlaceEvent, func() {})
			}
			for range rapid.IntRange(1, 50).Draw(t, "calls") {
				i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
				held[i] = rapid.Int64Range(0, 400).Draw(t, "bytes")
				_ = holders[i].Resize(held[i])
				sum := int64(0)
				for j, h := range holders {
					if !h.Ended() {
						sum += held[j]
					}
				}
				if sum != m.Total() || sum > limit {
					t.Fatalf("%d bytes are held, %d counted, %d allowed", sum, m.Total(), limit)
				}
			}
		})
	})
})
