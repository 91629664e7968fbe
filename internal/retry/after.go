package retry

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Errors of Retry-After fields.
var (
	errAfterText     = errors.New("neither seconds nor a date")
	errAfterNegative = errors.New("negative")
	errAfterTwice    = errors.New("stated more than once, with different values")
)

// maxAfter bounds what ParseAfter returns, so that a duration can hold it.
const maxAfter = 365 * 24 * time.Hour

// ParseAfter parses the Retry-After fields of a response: a number of seconds, which may have a
// fraction, or a date (RFC 9110, section 10.2.3). A date counts from the response's own Date field, or
// from now if there is none. It returns 0 if there is no field or if the date has passed.
func ParseAfter(h http.Header, now time.Time) (time.Duration, error) {
	fields := h.Values("Retry-After")
	if len(fields) == 0 {
		return 0, nil
	}
	for _, other := range fields[1:] {
		if other != fields[0] {
			return 0, fmt.Errorf("parse Retry-After: %w", errAfterTwice)
		}
	}
	text := strings.TrimSpace(fields[0])
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		return secondsAfter(seconds)
	}
	date, err := http.ParseTime(text)
	if err != nil {
		return 0, fmt.Errorf("parse Retry-After: %w", errAfterText)
	}
	if sent, err := http.ParseTime(h.Get("Date")); err == nil {
		now = sent
	}
	return min(max(date.Sub(now), 0), maxAfter), nil
}

// secondsAfter converts a number of seconds.
func secondsAfter(seconds float64) (time.Duration, error) {
	switch {
	case math.IsNaN(seconds), math.IsInf(seconds, 0):
		return 0, fmt.Errorf("parse Retry-After: %w", errAfterText)
	case seconds < 0:
		return 0, fmt.Errorf("parse Retry-After: %w", errAfterNegative)
	default:
		return time.Duration(min(seconds, maxAfter.Seconds()) * float64(time.Second)), nil
	}
}
