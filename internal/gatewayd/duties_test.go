package gatewayd_test

import (
	"encoding/json"
	"math"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"quaybarrow/internal/gatewayd"
	"quaybarrow/internal/usage"
)

// Settings of the platform's duties, and bounds of the checks.
const (
	dutiesAddress = "10.9.0.2:80"
	dutyTurns     = 3 * time.Second
	usageWindow   = 5 * time.Second
	// maxUsageError is the largest relative error of a reported count, and reportWithin the time after
	// the end of a window within which it has to be reported.
	maxUsageError = 0.05
	reportWithin  = 10 * time.Second
)

// holders returns the hosts that report holding the duties.
func (r *crashRig) holders() []string {
	client := &http.Client{Transport: r.net.Transport()}
	defer client.CloseIdleConnections()
	var found []string
	for _, h := range r.hosts {
		response, err := client.Get("http://" + h.address(82) + gatewayd.PathDuties)
		Expect(err).NotTo(HaveOccurred())
		var view gatewayd.DutiesView
		Expect(json.NewDecoder(response.Body).Decode(&view)).To(Succeed())
		_ = response.Body.Close()
		if view.Holds {
			found = append(found, view.Host)
		}
	}
	return found
}

// TestDutiesOfOneHost checks that usage is reported correctly, by one host at a time, also when the
// reporting host is killed.
func TestDutiesOfOneHost(t *testing.T) {
	for name, killed := range map[string]bool{"calm": false, "the holder is killed": true} {
		t.Run(name, func(t *testing.T) {
			runCrashScenario(t, crashScenario{duties: true, duration: 30 * time.Second, killHolderAt: map[bool]time.Duration{true: 12 * time.Second}[killed]}, func(r *crashRig) {
				time.Sleep(reportWithin)
				Expect(r.duties.Violations()).To(BeEmpty())
				Expect(r.holders()).To(HaveLen(1))
				served := map[int64]int64{}
				first, last := int64(math.MaxInt64), int64(0)
				for _, o := range r.outcomes {
					w := int64(usage.WindowOf(o.began, usageWindow))
					first, last = min(first, w), max(last, w)
					if o.status == http.StatusOK {
						served[w]++
					}
				}
				// Callers sent requests in only a part of the first and the last window, and requests that
				// were in flight at the end are not among the outcomes.
				delete(served, first)
				delete(served, last)
				reports := r.duties.Reports()
				for w, truth := range served {
					if off := float64(reports[w]["weavers"]-truth) / float64(truth); off > maxUsageError || off < -maxUsageError {
						t.Errorf("window %d: %d reported of %d", w, reports[w]["weavers"], truth)
					}
				}
				Expect(len(served)).To(BeNumerically(">=", 4))
			})
		})
	}
}
