package upgrade

import "time"

// Times of an upgrade's steps, as fractions of its time. Sessions in progress keep their version
// during the first half, and hosts do not know which sessions are in progress on other hosts, so
// nothing moves before.
const (
	trialStart = 0.50
	// completionMargin is the time left at the completion, which comes as late as a good version
	// can still be completed in time: a version that turns bad before it is rolled back, one that
	// turns bad after it cannot be, since the old endpoints are gone. The margin is for hosts that
	// learn of the order late (0.6 s while the store's watchers receive nothing) and for an
	// unreachable first host.
	completionMargin    = time.Second
	maxCompletionMargin = 0.06 // bounds it, as a fraction of the upgrade's time
	// completionDelaySpread is the fraction of the upgrade's time over which the hosts' delays
	// before writing the completion are spread.
	completionDelaySpread = 0.025
)

// Division of the exposure that a version may use, all of which a good version has used by the end
// of its time. The last stage uses exposure equal to its length, the second one secondStageShare of
// its length, and the trial the rest.
const (
	// plannedExposure is the fraction of the bound that the schedule plans for. The rest covers
	// retries of failed requests and a load peak at the end.
	plannedExposure    = 0.87
	maxPlannedExposure = 0.25 // whatever the bound; with more, the stages would not fit in the second half
	lastStageExposure  = 2.0 / 3
	secondStageShare   = 0.25
	// lastStageLatestStart is the latest start of the last stage, as a fraction of its length,
	// however many answers the target has given: the old endpoints need the rest to finish
	// requests.
	lastStageLatestStart = 0.5
)

// defaultExposure is the bound where operators give none; it is the value that users first gave.
const defaultExposure = 0.15

// stage is a share of the keys and the earliest fraction of the upgrade's time at which it begins.
type stage struct{ start, share float64 }

// Schedule defines when a target gets which share of the keys. All requests that a good version
// gets by the end of the time stay within the bound on exposure, so the bound holds whenever the
// version turns bad.
type Schedule struct {
	within   time.Duration
	exposure float64 // planned, as a fraction of all requests
	stages   [3]stage
}

// lastStage is the stage in which all keys go to the target.
const lastStage = len(Schedule{}.stages) - 1

// NewSchedule returns the schedule of an upgrade with a bound on exposure, which is a fraction of
// all requests; 0 selects the default.
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

// timeOf returns the duration of a fraction of the upgrade's time.
func (s Schedule) timeOf(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.within))
}

// fractionOf returns the fraction of the upgrade's time that has elapsed.
func (s Schedule) fractionOf(elapsed time.Duration) float64 {
	return float64(elapsed) / float64(max(s.within, 1))
}

// stageLead is how long before its start a stage is written, so that all hosts know of it by then.
// Hosts that learned of a stage after its start would apply it late, and a session that goes to the
// target on one host would return to the old version on another.
const stageLead = time.Second

// maxStageLead bounds stageLead, as a fraction of the upgrade's time.
const maxStageLead = 0.0625

// lead returns how long before its start a stage is written.
func (s Schedule) lead() time.Duration { return min(stageLead, s.timeOf(maxStageLead)) }

// completionMargin returns the part of the order's time that is left at the completion.
func (s Schedule) completionMargin() time.Duration {
	return min(completionMargin, s.timeOf(maxCompletionMargin))
}

// StageStart returns the start of a stage that is written now. The last stage waits until the
// answers that the target has given plus all those to come stay within the bound: the target's
// fraction of the requests may exceed its share of the keys.
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

// completionDelay scales a host's delay before writing the completion so that the delays of all
// hosts end before the upgrade's time does.
func (s Schedule) completionDelay(delay, longestDelay time.Duration) time.Duration {
	if longestDelay <= 0 {
		return 0
	}
	return time.Duration(float64(delay) / float64(longestDelay) * float64(min(longestDelay, s.timeOf(completionDelaySpread))))
}
