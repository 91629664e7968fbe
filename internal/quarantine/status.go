package quarantine

// Bounds of what is done about a request that is not in quarantine.
const (
	// From so many crashes on, of its own and of all its copies, hosts do not repeat a request
	// any more if it is as unlikely as this to have been beside them by chance; its caller may.
	callerRetryMoments = 2
	callerRetryChance  = 1e-3
	// minEmptyingCrashes is from how many crashes on a request may be what has emptied a service.
	minEmptyingCrashes = 2
)

// Status is what is known of a request; an immutable value.
type Status struct {
	// Quarantined tells that endpoints crash under it: it is not sent to any.
	Quarantined bool
	// Moments at which endpoints crashed beside it since it last came to a good end, and how
	// likely that was by chance.
	Moments int
	Chance  float64
	// Crashed counts the endpoints that crashed beside it since then, also at the same moment.
	Crashed int
	// Beside counts the endpoints of the same services that crashed in that time without it.
	Beside int
}

// MayHaveEmptiedService reports whether the request, which has waited for a service without endpoints, may be why
// there were none: it was at most of the crashes, of which one more may be known to nobody yet. What loses its
// endpoints to a power cut was at few of them.
func (s Status) MayHaveEmptiedService() bool {
	return !s.Quarantined && s.Crashed >= minEmptyingCrashes && s.Beside <= s.Crashed
}

// IsSuspect reports whether as many endpoints have crashed beside the request as one has to crash to be
// told from others, though it is not told from them yet.
func (s Status) IsSuspect() bool { return !s.Quarantined && s.Crashed >= minMoments }

// HostMayRetry reports whether a host may repeat the request on its own that so many endpoints have
// crashed under since it came this time.
func (s Status) HostMayRetry(crashes int) bool {
	return !s.Quarantined && (min(crashes, s.Moments) < callerRetryMoments || s.Chance > callerRetryChance)
}
