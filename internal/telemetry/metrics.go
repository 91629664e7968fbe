package telemetry

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// prefix of all metric names in the Prometheus output.
const prefix = "quaybarrow_"

// sampleSize and sampleAlpha are the usual values of go-metrics for a sample biased to recent
// observations.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// LabelPair is the key and value of a metric label.
type LabelPair struct{ Key, Value string }

// Label returns a LabelPair.
func Label(key, value string) LabelPair { return LabelPair{Key: key, Value: value} }

// metricName returns a metric name with its labels in Prometheus notation.
func metricName(name string, labels []LabelPair) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i, l := range labels {
		if i == 0 {
			b.WriteByte('{')
		} else {
			b.WriteByte(',')
		}
		b.WriteString(l.Key)
		b.WriteByte('=')
		b.WriteString(strconv.Quote(l.Value))
	}
	b.WriteByte('}')
	return b.String()
}

// Count adds n to a counter.
func (t *Telemetry) Count(name string, n int64, labels ...LabelPair) {
	metrics.GetOrRegisterCounter(metricName(name, labels), t.Registry).Inc(n)
}

// Gauge sets the value of a gauge.
func (t *Telemetry) Gauge(name string, value float64, labels ...LabelPair) {
	metrics.GetOrRegisterGaugeFloat64(metricName(name, labels), t.Registry).Update(value)
}

// Observe adds a duration to a histogram.
func (t *Telemetry) Observe(name string, d time.Duration, labels ...LabelPair) {
	h := t.Registry.GetOrRegister(metricName(name, labels), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if histogram, ok := h.(metrics.Histogram); ok {
		histogram.Update(d.Microseconds())
	}
}

// quantiles that are exported for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteText writes all metrics in the Prometheus text format.
func (t *Telemetry) WriteText(w io.Writer) error {
	var lines []string
	t.Registry.Each(func(name string, metric any) {
		lines = append(lines, formatMetric(name, metric)...)
	})
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}

// formatMetric returns the lines of one metric in the Prometheus text format.
func formatMetric(name string, metric any) []string {
	base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	line := func(suffix, extra, value string) string {
		all := strings.Trim(labels+","+extra, ",")
		if all != "" {
			all = "{" + all + "}"
		}
		return prefix + base + suffix + all + " " + value
	}
	switch v := metric.(type) {
	case metrics.Counter:
		return []string{line("_total", "", strconv.FormatInt(v.Count(), 10))}
	case metrics.GaugeFloat64:
		return []string{line("", "", strconv.FormatFloat(v.Value(), 'g', -1, 64))}
	case metrics.Histogram:
		s := v.Snapshot()
		lines := []string{line("_micros_count", "", strconv.FormatInt(s.Count(), 10))}
		for i, q := range s.Percentiles(quantiles) {
			label := `quantile="` + strconv.FormatFloat(quantiles[i], 'g', -1, 64) + `"`
			lines = append(lines, line("_micros", label, strconv.FormatFloat(q, 'g', -1, 64)))
		}
		return lines
	default:
		return nil
	}
}
