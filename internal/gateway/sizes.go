package gateway

// outPerIn is how many tokens of a prompt a token of the answer counts as, as the users
// tell.
const outPerIn = 10

// sizes are the mean sizes of requests, by route; safe for use at once.
type sizes struct{ means *means }

func newSizes() *sizes { return &sizes{means: newMeans()} }

// relative takes in a request's size and returns it relative to the mean of its route.
func (s *sizes) relative(route string, in, out int) float64 {
	size := float64(in + outPerIn*out)
	mean := s.means.add(route, size)
	if mean == 0 {
		return 1
	}
	return size / mean
}
