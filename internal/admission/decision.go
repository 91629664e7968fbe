package admission

import "time"

// Thresholds of the order among requests to engines, for loads that engines can't serve in
// time.
const (
	// minInTimeChance is the least chance to begin in time with which a request goes at its
	// own urgency. Others take no place of one that can be in time.
	minInTimeChance = 0.5
	// minServedChance is the chance to begin before its caller leaves below which a request is
	// refused at once: held, it would keep its caller from coming back to idle engines.
	minServedChance = 0.1
	// maxEngineQueueWait is how long a request that goes behind waits at an engine at most; longer
	// waits are kept here, where they end when engines are idle elsewhere.
	maxEngineQueueWait = 150 * time.Millisecond
	// forcedSendFactor times what an answer is expected to take is left when a request that was let
	// wait is sent in any case: it is served late rather than held in vain.
	forcedSendFactor = 1.5
	// minPollInterval and askMost bound the time until a request that waits asks again.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
	// maxRetryDelayPart of its time is the longest that a refused caller heeds, as the users tell.
	// It is told nearly that long: most come back once only, how long a load lasts is not
	// known, and an answer that is late is worth as much at any time. Callers are spread
	// from returnPart of it on, so that they don't meet.
	maxRetryDelayPart = 1.0 / 3
	minRetryDelayPart = 0.7
	// maxRetryDelay is for callers of long time budgets.
	maxRetryDelay = 8 * time.Second
)

// RetryDelay is when a caller that has so much time left should come back after a refusal;
// chance is a number from 0 to 1.
func RetryDelay(remaining time.Duration, jitter float64) time.Duration {
	longest := min(time.Duration(maxRetryDelayPart*float64(remaining)), maxRetryDelay)
	return time.Duration((minRetryDelayPart + (1-minRetryDelayPart)*jitter) * float64(longest))
}

// Forecast is what is expected of a request to engines that is sent now. An immutable
// value.
type Forecast struct {
	InTime       float64       // chance that its answer begins in time, at its own urgency
	Head         time.Duration // until it would begin there
	Waiting      bool          // it was let wait for its turn
	ServedBehind float64       // chance that it begins before its caller leaves, behind all others
	QueueWait    time.Duration // that it would find there
	FreeSlots    int           // slots that are free
	Ahead        int           // requests that wait and go before it
	TurnWait     time.Duration // until those have gone, as requests that wait go now
	Left         time.Duration // in which its caller can use the beginning of an answer
}

// Decision is what becomes of a request to engines: Send, Behind, Wait or Refuse.
type Decision interface{ decision() }

// Send lets a request go at its own urgency.
type Send struct{}

// Behind lets a request go behind all that can be in time.
type Behind struct{}

// Wait has a request ask again after a time, with its turn.
type Wait struct {
	For  time.Duration
	Turn int64
}

// Refuse has the caller told to come back later; see ComeBack.
type Refuse struct {
	// After is when there should be room; 0 if that is not known.
	After time.Duration
}

func (Send) decision()   {}
func (Behind) decision() {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Decide decides on a request. It is pure: who asks gives a Wait its turn.
func Decide(f Forecast) Decision {
	switch {
	case f.InTime >= minInTimeChance:
		return Send{}
	case f.Waiting && f.Left <= time.Duration(forcedSendFactor*float64(f.Head)):
		return Send{}
	case f.QueueWait <= maxEngineQueueWait && f.Ahead < max(f.FreeSlots, 1):
		return Behind{}
	case !f.Waiting && (f.ServedBehind < minServedChance || f.TurnWait > f.Left/2):
		return Refuse{}
	default:
		return Wait{For: min(max(f.TurnWait/2, minPollInterval), maxPollInterval)}
	}
}
