package admission

import "time"

// minRateLimitPoll is the shortest time until a request that waits for a rate limit asks again.
const minRateLimitPoll = 25 * time.Millisecond

// DecideRateLimited decides on a request whose endpoints have all reached the rate limits that they
// announce. turnWait is the expected time until the request may be sent, maxWait the time that it
// may wait, and waiting reports whether it waits already. It is a pure function.
func DecideRateLimited(turnWait, maxWait time.Duration, waiting bool) Decision {
	if max(turnWait, minRateLimitPoll) > maxWait || (!waiting && turnWait > maxWait/2) {
		return Refuse{After: max(turnWait, minRateLimitPoll)}
	}
	return Wait{For: min(max(turnWait/2, minRateLimitPoll), maxPollInterval)}
}

// RetryDelayUntilRoom returns the delay after which a refused caller with a remaining time should
// retry, if there should be room after untilRoom. jitter is a random number from 0 to 1.
func RetryDelayUntilRoom(untilRoom, remaining time.Duration, jitter float64) time.Duration {
	return min(time.Duration((1+jitter/2)*float64(untilRoom)), RetryDelay(remaining, jitter))
}
