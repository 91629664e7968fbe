package admission

import "time"

// rationLeast bounds the time until a request that waits for its part of a limit asks again.
const rationLeast = 25 * time.Millisecond

// DecideRateLimited decides on a request to endpoints of which all are at the limits that they name: its turn
// comes after a time, and it may wait for another; waits tells that it does already. It is pure.
func DecideRateLimited(turn, within time.Duration, waits bool) Decision {
	if max(turn, rationLeast) > within || (!waits && turn > within/2) {
		return Refuse{After: max(turn, rationLeast)}
	}
	return Wait{For: min(max(turn/2, rationLeast), askMost)}
}

// RetryDelayUntilRoom is when a caller that has so much time left should come back after a refusal, where
// there should be room after a time; chance is a number from 0 to 1.
func RetryDelayUntilRoom(room, left time.Duration, chance float64) time.Duration {
	return min(time.Duration((1+chance/2)*float64(room)), RetryDelay(left, chance))
}
