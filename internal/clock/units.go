package clock

import "time"

// Seconds converts a number of seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Micros converts a number of microseconds, the unit in messages between hosts, to a duration.
func Micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
