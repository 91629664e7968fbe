package upgrade

import "time"

// Parts of an upgrade's time. A session that is under way keeps its version in the first
// half, and hosts do not know which sessions are under way elsewhere, so nothing moves
// before.
const (
	trialStart = 0.50
	// Completion comes as late as a good version can still be done in time: what turns bad
	// before it is rolled back, what turns bad after it can't be, for the old endpoints are
	// gone. The rest of the time is for hosts that hear of the order late (0.6 s while the
	// store's watchers hear nothing), and for a first host that is dark.
	completionMargin    = time.Second
	maxCompletionMargin = 0.06 // of the time bounds it
	// completionDelaySpread is the part of the time over which hosts' turns to write the
	// completion are spread.
	completionDelaySpread = 0.025
)

// Shares of the exposure that a version may cost, spent by a version that does well until
// the end of its time. What the last stage costs is its length, what the second one costs
// is secondStageShare of it, and the trial has the rest.
const (
	// plannedExposure is the part of the bound that is planned for: requests that fail come again,
	// and a load may peak at the end.
	plannedExposure    = 0.87
	maxPlannedExposure = 0.25 // used, whatever the bound: with more the stages would not fit in the second half
	lastStageExposure  = 2.0 / 3
	secondStageShare   = 0.25
	// lastStageLatestStart is when the last stage begins at the latest, as a part of its length,
	// however much the version has had: old endpoints need the rest to finish requests.
	lastStageLatestStart = 0.5
)

// defaultExposure is the bound where operators give none, as users gave it first.
const defaultExposure = 0.15

// stage is a share of the keys and the part of the time at which it begins at the earliest.
type stage struct{ start, share float64 }

// Schedule says when a target gets which share of the keys. All that a version has had by
// the end of its time stays within the bound on exposure, so the bound holds at whatever
// moment it turns bad.
type Schedule struct {
	within   time.Duration
	exposure float64 // that may be used
	stages   [3]stage
}

// lastStage is the one in which all keys go to the target.
const lastStage = len(Schedule{}.stages) - 1

// NewSchedule returns the schedule of an upgrade, for a bound on exposure as a part of all
// requests; 0 means the default.
func NewSchedule(exposure float64, within time.Duration) Schedule {
	if exposure <= 0 {
		exposure = defaultExposure
	}
	planned := min(exposure*plannedExposure, maxPlannedExposure)
	lastLength := lastStageExposure * planned
	secondLength := lastLength
	trialLength := 1 - lastLength - secondLength - trialStart
	return Schedule{within: within, exposure: planned, stages: [3]stage{
		{trialStart, (planned - lastLength - secondStageShare*secondLength) / trialLength},
		{1 - lastLength - secondLength, secondStageShare},
		{1 - lastLength, 1},
	}}
}

// timeOf returns the moment of a part of the upgrade's time.
func (s Schedule) timeOf(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.within))
}

// fractionOf returns which part of the upgrade's time has passed.
func (s Schedule) fractionOf(elapsed time.Duration) float64 {
	return float64(elapsed) / float64(max(s.within, 1))
}

// stageLead is how long before its beginning a larger share is written, so that all hosts
// know of it by then: what a host hears later it does later, and a session that goes to
// the target on one host comes back on another.
const stageLead = time.Second

// maxStageLead of an upgrade's time bounds that lead.
const maxStageLead = 0.0625

// lead is how long before its beginning a larger share is written.
func (s Schedule) lead() time.Duration { return min(stageLead, s.timeOf(maxStageLead)) }

// completionMargin is what is completionMargin of the order's time when the upgrade is completed.
func (s Schedule) completionMargin() time.Duration {
	return min(completionMargin, s.timeOf(maxCompletionMargin))
}

// StageStart returns when a stage may begin that is written now. The last one waits until the
// part of all answers that the version has had, and all those that are left, stay within
// the bound: a share of the keys may be a larger share of the requests.
func (s Schedule) StageStart(next int, elapsed time.Duration, seen VersionCounts) time.Duration {
	earliest := max(elapsed+s.lead(), s.timeOf(s.stages[next].start))
	if next < lastStage {
		return earliest
	}
	exposed := seen.targetFraction() * s.fractionOf(elapsed)
	lastLength := 1 - s.stages[lastStage].start
	withinBound := min(1-(s.exposure-exposed), 1-lastStageLatestStart*lastLength)
	return max(earliest, s.timeOf(withinBound))
}

// completionDelay shortens the time that a host leaves the completion to others, so that all have
// their completionDelay before the upgrade's time is over.
func (s Schedule) completionDelay(delay, longestDelay time.Duration) time.Duration {
	if longestDelay <= 0 {
		return 0
	}
	return time.Duration(float64(delay) / float64(longestDelay) * float64(min(longestDelay, s.timeOf(completionDelaySpread))))
}
