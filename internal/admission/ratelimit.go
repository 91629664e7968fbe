package admission

import "time"

// minRateLimitPoll bounds the time until a request that waits for its part of a limit asks again.
const minRateLimitPoll = 25 * time.Millisecond

// DecideRateLimited decides on a request to endpoints of which all are at the limits that they name: its turn
// comes after a time, and it may wait for another; waits tells that it does already. It is pure.
func DecideRateLimited(turnWait, maxWait time.Duration, waiting bool) Decision {
	if max(turnWait, minRateLimitPoll) > maxWait || (!waiting && turnWait > maxWait/2) {
		return Refuse{After: max(turnWait, minRateLimitPoll)}
	}
	return Wait{For: min(max(turnWait/2, minRateLimitPoll), maxPollInterval)}
}

// RetryDelayUntilRoom is when a caller that has so much time left should come back after a refusal, where
// there should be room after a time; chance is a number from 0 to 1.
func RetryDelayUntilRoom(untilRoom, remaining time.Duration, jitter float64) time.Duration {
	return min(time.Duration((1+jitter/2)*float64(untilRoom)), RetryDelay(remaining, jitter))
}
