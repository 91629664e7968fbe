package quarantine

// Thresholds for requests that are not in quarantine.
const (
	// Once a request has had callerRetryMoments crashes, of its own and of all its copies, and the
	// probability that it was at them by coincidence is callerRetryChance or less, hosts no longer
	// retry it; its caller may.
	callerRetryMoments = 2
	callerRetryChance  = 1e-3
	// minEmptyingCrashes is the number of crashes from which on a request may be what has left a
	// service without endpoints.
	minEmptyingCrashes = 2
)

// Status is what is known of a request; an immutable value.
type Status struct {
	// Quarantined means that endpoints crash under the request, so it is sent to none.
	Quarantined bool
	// Moments is the number of separate moments at which endpoints that ran the request crashed
	// since it last completed; Chance is the probability of that by coincidence.
	Moments int
	Chance  float64
	// Crashed is the number of endpoints that crashed while running it since then, including those
	// at the same moment.
	Crashed int
	// Beside is the number of endpoints of the same services that crashed in that time without
	// running it.
	Beside int
	// Emptied means that its service has been found without endpoints since the first of its crashes.
	Emptied bool
	// OnlyAnswered means that nothing counts against it but parts on which answers ended whole before.
	OnlyAnswered bool
	// AllAnswered means that answers on all of its parts ended whole before.
	AllAnswered bool
	// UnderTest means that one of its parts, on which answers ended whole before, is tested by requests against
	// which nothing else counts.
	UnderTest bool
	// Doubt names the request, or a part of its prompt, of which no answer has ended since an endpoint crashed
	// under it and the service was found without endpoints; empty if there is none.
	Doubt string
	// Part names the parts of its prompt for which it is quarantined; empty if it is so by itself.
	Part string
	// PartSuspect means that it has a part under which endpoints may crash.
	PartSuspect bool
}

// MayHaveEmptiedService reports whether the request may be why its service was without endpoints: it ran at
// most of the crashes, of which one more may not be known to any host. A request whose endpoints lost power
// ran at few of them.
func (s Status) MayHaveEmptiedService() bool {
	return !s.Quarantined && s.Emptied && s.Crashed >= minEmptyingCrashes && s.Beside <= s.Crashed
}

// IsSuspect reports whether as many endpoints have crashed under the request as attribution needs,
// though it can't be told from other requests yet, or under a part of its prompt that can't be told from
// others, or whether it may have emptied its service.
func (s Status) IsSuspect() bool {
	return !s.Quarantined && (s.Crashed >= minMoments || s.PartSuspect || s.MayHaveEmptiedService())
}

// IsHeld reports whether the request has to wait for the tests of a part: sent beside them it would crash one
// more endpoint, and a crash under it would tell nothing of the part.
func (s Status) IsHeld() bool { return !s.Quarantined && s.UnderTest && !s.OnlyAnswered }

// Turns are the turns by which requests are sent that may make endpoints crash: one request at a time over all
// hosts for each key. An immutable value; the zero value stands for none.
type Turns struct {
	Key       string
	PerSecond float64
}

// Rates of turns.
const (
	turnsPerSecond = 1
	// otherTestsPerSecond are few: a part of which no answer has ended may be what endpoints crash under.
	otherTestsPerSecond = 0.2
)

// Turns returns the turns by which the request is sent. Suspects of a service share one key, so that a crash is not
// taken for another's; those that may show that a part is sound, after all, have keys of their own. One that
// is only doubtful shares its turns with those that come with the same doubt.
func (s Status) Turns(service string) Turns {
	switch {
	case s.IsSuspect() && s.OnlyAnswered && s.AllAnswered:
		return Turns{service + "/answered", turnsPerSecond}
	case s.IsSuspect() && s.OnlyAnswered:
		return Turns{service + "/other", otherTestsPerSecond}
	case s.IsSuspect():
		return Turns{service, turnsPerSecond}
	case s.Doubt != "" && !s.Quarantined:
		return Turns{service + "/" + s.Doubt, turnsPerSecond}
	default:
		return Turns{}
	}
}

// HostMayRetry reports whether a host may retry the request itself, given the number of endpoints
// that have crashed under it since its caller sent it this time.
func (s Status) HostMayRetry(crashes int) bool {
	return !s.Quarantined && (min(crashes, s.Moments) < callerRetryMoments || s.Chance > callerRetryChance)
}

// Rule names, for logs, the rule by which a request is sent to endpoints or not.
type Rule string

// Values of Rule.
const (
	RuleNone        Rule = ""             // no endpoint has crashed under the request
	RuleBelow       Rule = "below"        // too few have
	RuleSuspect     Rule = "suspect"      // it waits for its turn
	RuleQuarantined Rule = "quarantined"  // it is refused
	RulePart        Rule = "part"         // it is refused for parts of its prompt
	RuleSuspectPart Rule = "suspect part" // it waits for its turn, for a part
	RuleDoubtful    Rule = "doubtful"     // it waits for its turn among those with the same doubt
)

// Rule returns the rule by which the request is sent to endpoints or not.
func (s Status) Rule() Rule {
	switch {
	case s.Part != "":
		return RulePart
	case s.Quarantined:
		return RuleQuarantined
	case s.PartSuspect:
		return RuleSuspectPart
	case s.IsSuspect():
		return RuleSuspect
	case s.Doubt != "":
		return RuleDoubtful
	case s.Crashed > 0:
		return RuleBelow
	default:
		return RuleNone
	}
}
