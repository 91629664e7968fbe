package admission

import "time"

// Thresholds of the order among requests to engines, for loads that engines can't serve in
// time.
const (
	// likelyInTime is the least chance to begin in time with which a request goes at its
	// own urgency. Others take no place of one that can be in time.
	likelyInTime = 0.5
	// hopeless is the chance to begin before its caller leaves below which a request is
	// refused at once: held, it would keep its caller from coming back to idle engines.
	hopeless = 0.1
	// roomWait is how long a request that goes behind waits at an engine at most; longer
	// waits are kept here, where they end when engines are idle elsewhere.
	roomWait = 150 * time.Millisecond
	// lastCall times what an answer is expected to take is left when a request that was let
	// wait is sent in any case: it is served late rather than held in vain.
	lastCall = 1.5
	// askLeast and askMost bound the time until a request that waits asks again.
	askLeast = 50 * time.Millisecond
	askMost  = 500 * time.Millisecond
	// heedPart of its time is the longest that a refused caller heeds, as the users tell.
	// It is told nearly that long: most come back once only, how long a load lasts is not
	// known, and an answer that is late is worth as much at any time. Callers are spread
	// from returnPart of it on, so that they don't meet.
	heedPart   = 1.0 / 3
	returnPart = 0.7
	// returnMost is for callers of long time budgets.
	returnMost = 8 * time.Second
)

// RetryDelay is when a caller that has so much time left should come back after a refusal;
// chance is a number from 0 to 1.
func RetryDelay(left time.Duration, chance float64) time.Duration {
	most := min(time.Duration(heedPart*float64(left)), returnMost)
	return time.Duration((returnPart + (1-returnPart)*chance) * float64(most))
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
func Decide(o Forecast) Decision {
	switch {
	case o.InTime >= likelyInTime:
		return Send{}
	case o.Waiting && o.Left <= time.Duration(lastCall*float64(o.Head)):
		return Send{}
	case o.QueueWait <= roomWait && o.Ahead < max(o.FreeSlots, 1):
		return Behind{}
	case !o.Waiting && (o.ServedBehind < hopeless || o.TurnWait > o.Left/2):
		return Refuse{}
	default:
		return Wait{For: min(max(o.TurnWait/2, askLeast), askMost)}
	}
}
