package clock

import "time"

// Seconds is a time of so many seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Micros is a time of so many microseconds, as messages between hosts tell it.
func Micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
