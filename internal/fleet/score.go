package fleet

import "time"

// Weights of the choice. Scores are seconds until the answer is expected to
// begin, with what else an endpoint costs put into seconds.
const (
	tierSeconds = 1000 // an endpoint that may not answer comes after all others
	// loadSeconds is what full slots cost: every request there slows all others.
	loadSeconds = 0.15
	// fullSeconds is what each request over full slots waits, for as many as there
	// are slots: one ends in about a second and a half.
	fullSeconds = 1.5
	// hallPart of the objective is what bytes between data halls are worth.
	hallPart = 0.1
	// sharedPart of the objective is what reading a shared part again costs
	// beyond its time.
	sharedPart = 0.05
	// hallUnread is the part of a shared prompt that the home of a data hall is
	// expected to read: it has seen the prompt if its hall has asked for it.
	hallUnread = 0.6
	// plainHall is the load that a request without a prompt passes by to stay in
	// its data hall.
	plainHall = 0.5
	// fullLoad is the load from which an endpoint lets requests wait.
	fullLoad = 0.9
	tieBreak = 1e-4
)

// terms are what the scores of all endpoints for an attempt have in common.
type terms struct {
	homes   homes
	prompt  bool    // the request has one
	sharers int     // hosts that send to an endpoint
	hall    float64 // what bytes between data halls cost
	again   float64 // what reading the whole shared part again costs
}

func (f *Fleet) terms(ask Ask, homes homes) terms {
	t := terms{homes: homes, prompt: ask.Key != 0, sharers: f.sharers(ask.Service), hall: plainHall}
	if t.prompt {
		t.hall = hallPart * ask.Objective.Seconds()
		t.again = sharedPart*ask.Objective.Seconds() + f.readingOf(ask.Service, ask.Model).tokens(ask.Shared).Seconds()
	}
	return t
}

// score ranks an endpoint for an attempt; the lowest is chosen.
func (f *Fleet) score(m *member, t terms, now time.Time) float64 {
	load := m.load(now, t.sharers)
	score := float64(m.tier(now))*tierSeconds + tieBreak*f.options.Random()
	if m.Hall != f.options.Hall {
		score += t.hall
	}
	if t.prompt {
		if load > fullLoad {
			score += fullSeconds * (load - fullLoad)
		}
		return score + loadSeconds*load + (m.reading + m.bookedFor(now)).Seconds() + m.waiting(now) + t.homes.unread(m)*t.again
	}
	if load >= fullLoad {
		load *= 2
	}
	return score + load
}

// waiting is how long, in seconds, requests have lately waited at an endpoint
// beyond what their prompts took; it fades as nothing more is heard.
func (m *member) waiting(now time.Time) float64 {
	age := now.Sub(m.waitAt)
	if age >= echoLife {
		return 0
	}
	return m.wait.Seconds() * (1 - float64(age)/float64(echoLife))
}

// weight is the rendezvous weight of an endpoint for a key, 0 to 1.
func weight(key, seed uint64) float64 {
	x := key ^ seed
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
