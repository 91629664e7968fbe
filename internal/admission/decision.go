package admission

import "time"

// Thresholds of Decide, which apply when engines can't serve all requests in time.
const (
	// minInTimeChance is the lowest chance to begin in time at which a request is sent with its
	// own urgency. A request with a lower chance must not displace one that can be in time.
	minInTimeChance = 0.5
	// minServedChance is the lowest chance to begin before the caller leaves at which a request
	// may wait. Below it the request is refused at once: if it were held, its caller could not
	// retry later when engines are idle.
	minServedChance = 0.1
	// maxEngineQueueWait is the longest expected wait in an engine's queue with which a request
	// is sent behind all others. For longer waits the request waits here, where the wait ends
	// when other engines are idle.
	maxEngineQueueWait = 150 * time.Millisecond
	// A waiting request is sent in any case once its remaining time is at most forcedSendFactor
	// times the expected time to the head of its answer: it is served late rather than held in
	// vain.
	forcedSendFactor = 1.5
	// maxHeldPart is the part of the time left for an answer in time that the expected wait for a turn may
	// take. The rest allows for turns that come late, for instance when engines fail.
	maxHeldPart = 0.75
	// minPollInterval and maxPollInterval bound the time until a waiting request asks again.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
	// maxRetryDelayPart of the remaining time is the longest retry delay that a refused caller
	// obeys, according to the users. Callers are told nearly that delay, because most retry only
	// once, the duration of the overload is unknown, and a late answer is worth the same at any
	// time. The delays are spread from minRetryDelayPart of the longest one upwards, so that
	// callers don't retry together.
	maxRetryDelayPart = 1.0 / 3
	minRetryDelayPart = 0.7
	// maxRetryDelay bounds the delay for callers with long time budgets.
	maxRetryDelay = 8 * time.Second
)

// RetryDelay returns the delay after which a refused caller with a remaining time should retry.
// jitter is a random number from 0 to 1.
func RetryDelay(remaining time.Duration, jitter float64) time.Duration {
	longest := min(time.Duration(maxRetryDelayPart*float64(remaining)), maxRetryDelay)
	return time.Duration((minRetryDelayPart + (1-minRetryDelayPart)*jitter) * float64(longest))
}

// Forecast holds the expectations for a request to engines if it is sent now. It is an immutable
// value.
type Forecast struct {
	InTime       float64       // chance that its answer begins in time, with its own urgency
	Head         time.Duration // until the answer's head would arrive, with its own urgency
	Waiting      bool          // it has been told to wait before
	ServedBehind float64       // chance that its answer begins before its caller leaves, if sent behind all others
	QueueWait    time.Duration // in the engine's queue, if sent behind all others
	FreeSlots    int           // free slots of engines
	Ahead        int           // waiting requests that are sent before it
	TurnWait     time.Duration // until those are sent, at the current rate of waiting requests
	Held         bool          // no engine has room for its prompt beside those that can't wait
	Slack        time.Duration // remaining time in which its answer is in time; used if it is held
	Left         time.Duration // remaining time in which an answer that begins is of use to its caller
}

// maxTurnWait returns the longest time until its turn with which a request may begin to wait. One that is
// held back waits only if it should be in time: what waits longer would delay those that come after it, also
// when the load has ended.
func (f Forecast) maxTurnWait() time.Duration {
	if f.Held {
		return min(time.Duration(maxHeldPart*float64(f.Slack-f.Head)), f.Left/2)
	}
	return f.Left / 2
}

// Decision is the decision on a request to endpoints: Send, Behind, Wait, Refuse or Paused.
type Decision interface{ decision() }

// Send has the request sent with its own urgency.
type Send struct{}

// Behind has the request sent with the lowest urgency, behind all requests that can be in time.
type Behind struct{}

// Wait has the request ask again after a time.
type Wait struct {
	For  time.Duration
	Turn int64 // id of the request in a WaitingList, with which it asks again
}

// Refuse has the request refused and its caller told to retry later; see RetryDelay and
// RetryDelayUntilRoom.
type Refuse struct {
	// After is the time until there should be room; 0 if it is not known.
	After time.Duration
}

// Paused has the request refused, or held for a moment, because all endpoints that could run it want
// nothing from this host for a while.
type Paused struct {
	For time.Duration // until the first of them takes requests
}

func (Send) decision()   {}
func (Behind) decision() {}
func (Wait) decision()   {}
func (Refuse) decision() {}
func (Paused) decision() {}

// Decide decides on a request to engines. It is a pure function: the caller sets the Turn of a
// Wait.
func Decide(f Forecast) Decision {
	switch {
	case f.InTime >= minInTimeChance:
		return Send{}
	case f.Waiting && f.Left <= time.Duration(forcedSendFactor*float64(f.Head)):
		return Send{}
	case !f.Held && f.QueueWait <= maxEngineQueueWait && f.Ahead < max(f.FreeSlots, 1):
		return Behind{}
	case !f.Waiting && (f.ServedBehind < minServedChance || f.TurnWait > f.maxTurnWait()):
		return Refuse{}
	default:
		return Wait{For: min(max(f.TurnWait/2, minPollInterval), maxPollInterval)}
	}
}
