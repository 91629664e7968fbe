package gateway

// promptTokensPerOutputToken is how many tokens of a prompt a token of the answer counts as, as the users
// tell.
const promptTokensPerOutputToken = 10

// requestSizes are the mean requestSizes of requests, by route; safe for use at once.
type requestSizes struct{ means *routeMeans }

func newRequestSizes() *requestSizes { return &requestSizes{means: newRouteMeans()} }

// relative takes in a request's size and returns it relative to the mean of its route.
func (s *requestSizes) relative(route string, in, out int) float64 {
	size := float64(in + promptTokensPerOutputToken*out)
	mean := s.means.add(route, size)
	if mean == 0 {
		return 1
	}
	return size / mean
}
