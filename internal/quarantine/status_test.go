package quarantine

import (
	"testing"
	"time"
)

// crashesAt returns crashes of endpoints of a service, at times in milliseconds, with the runs
// given.
func crashesAt(service string, under map[Fingerprint]Run, moments ...int) []Crash {
	crashes := make([]Crash, 0, len(moments))
	for _, at := range moments {
		crashes = append(crashes, Crash{Service: service, At: time.Duration(at) * time.Millisecond, Runs: under})
	}
	return crashes
}

// emptiedCases has crashes beside two crashes under a request that waits for their service, and
// whether the request may be why the service has no endpoints.
var emptiedCases = map[string]struct {
	others []Crash
	may    bool
}{
	"nothing else crashed":                           {nil, true},
	"as many crashed beside it":                      {crashesAt("s", nil, 1010, 1020), true},
	"many crashed at the same moment":                {crashesAt("s", nil, 1000, 1010, 1020), false},
	"many of another service crashed at that moment": {crashesAt("other", nil, 1000, 1010, 1020), true},
	"many crashed some time later":                   {crashesAt("s", nil, 2000, 2010, 2020), true},
}

// TestRequestsThatMayHaveEmptiedAService guards against sending all requests that ran where endpoints
// lost power only one at a time, as suspects.
func TestRequestsThatMayHaveEmptiedAService(t *testing.T) {
	request := fingerprintOf(1)
	under := map[Fingerprint]Run{request: {Lasted: 50 * time.Millisecond}}
	for name, c := range emptiedCases {
		t.Run(name, func(t *testing.T) {
			crashes := append(crashesAt("s", under, 1000, 1020), c.others...)
			s := Evidence{CountEndpoints: func(string) int { return 12 }}.assess(request, crashes)
			status := Status{Crashed: len(s.crashed), Beside: s.otherCrashes, Emptied: true}
			if status.MayHaveEmptiedService() != c.may {
				t.Errorf("%+v, want %v", status, c.may)
			}
		})
	}
}
