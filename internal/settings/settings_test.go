package settings_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quaybarrow/internal/settings"
)

const good = `host: entry-1
data_hall: ikeja
region: lagos
platform: http://10.0.0.1:7000
session_keys: [{id: k1, secret: 0123456789abcdef0123456789abcdef}]
`

// bad maps invalid lines, which are appended to good settings, to texts that the error has to contain.
var bad = map[string]struct {
	line string
	want []string
}{
	"an unknown field":        {"hots: x", []string{"hots"}},
	"an address without port": {"callers: 10.0.0.1", []string{"host.yaml:6", "$.callers", "ip:port"}},
	"a name for an address":   {"peers: localhost:7300", []string{"host.yaml:6", "$.peers", "ip:port"}},
	"a negative time":         {"times: {lease: -3s}", []string{"host.yaml:6", "$.times.lease", "more than 0"}},
	"a certificate alone":     {"tls: {certificate: c.pem}", []string{"host.yaml:6", "$.tls", "together"}},
	"a log level":             {"telemetry: {log_level: loud}", []string{"$.telemetry.log_level", "debug"}},
	"a field given twice":     {"host: again", []string{"host"}},
}

var _ = Describe("settings", func() {
	It("are read, with defaults for unset fields", func() {
		s, err := settings.Parse("host.yaml", []byte(good))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Host).To(Equal("entry-1"))
		Expect(s.Times.Lease).To(Equal(settings.Default().Times.Lease))
	})

	for name, b := range bad {
		It("with "+name+" are rejected with line and field", func() {
			_, err := settings.Parse("host.yaml", []byte(good+b.line+"\n"))
			Expect(err).To(HaveOccurred())
			for _, want := range b.want {
				Expect(err.Error()).To(ContainSubstring(want))
			}
		})
	}

	It("of a gateway need no session keys, and errors name its invalid fields", func() {
		const gateway = "host: h\ndata_hall: d\nregion: r\ngateway: {callers: 10.0.0.1:1, ready: 10.0.0.1:2, control: 10.0.0.1:3, peers: 10.0.0.1:5, store: 10.9.0.1:4, memory_mb: 284, retry_ratio: 0.9, grace: 8s, in_force: 2s, leaving: 2s, cores: 0.4}\n"
		s, err := settings.Parse("host.yaml", []byte(gateway))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Gateway.Grace).To(Equal(8 * time.Second))
		_, err = settings.Parse("host.yaml", []byte(strings.Replace(gateway, "store: 10.9.0.1:4, memory_mb: 284", "store: nowhere, memory_mb: 0", 1)))
		Expect(err).To(MatchError(ContainSubstring("$.gateway.store")))
		Expect(err).To(MatchError(ContainSubstring("$.gateway.memory_mb")))
	})

	It("of a gateway about shares are optional, and errors name the invalid ones", func() {
		const gateway = "host: h\ndata_hall: d\nregion: r\ngateway: {callers: 10.0.0.1:1, ready: 10.0.0.1:2, control: 10.0.0.1:3, peers: 10.0.0.1:5, store: 10.9.0.1:4, memory_mb: 284, retry_ratio: 0.9, grace: 8s, in_force: 2s, leaving: 2s, cores: 0.4"
		for text, calledFor := range map[string]map[bool]bool{
			"":               {false: false, true: true},
			", shares: auto": {false: false, true: true},
			", shares: on":   {false: true, true: true},
			", shares: off":  {false: false, true: false},
		} {
			s, err := settings.Parse("host.yaml", []byte(gateway+text+"}\n"))
			Expect(err).NotTo(HaveOccurred(), text)
			for called, want := range calledFor {
				Expect(s.Gateway.SharesCapacity(called)).To(Equal(want), text)
			}
		}
		s, err := settings.Parse("host.yaml", []byte(gateway+", weights: {weavers: 2.5}}\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Gateway.Weight("weavers")).To(Equal(2.5))
		Expect(s.Gateway.Weight("clerks")).To(Equal(1.0))
		for text, field := range map[string]string{
			", shares: maybe":             "$.gateway.shares",
			", weights: {weavers: 0}":     "$.gateway.weights.weavers",
			", weights: {weavers: -1}":    "$.gateway.weights.weavers",
			", weights: {weavers: .nan}":  "$.gateway.weights.weavers",
			", weights: {weavers: .inf}":  "$.gateway.weights.weavers",
			", weights: {weavers: heavy}": "weights",
		} {
			_, err := settings.Parse("host.yaml", []byte(gateway+text+"}\n"))
			Expect(err).To(MatchError(ContainSubstring(field)), text)
		}
	})

	It("are rejected with all invalid fields in one error", func() {
		_, err := settings.Parse("host.yaml", []byte("host: \"\"\nplatform: nowhere\n"))
		for _, field := range []string{"$.host", "$.data_hall", "$.platform", "$.session_keys"} {
			Expect(err).To(MatchError(ContainSubstring(field)))
		}
	})
})
