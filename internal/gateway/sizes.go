package gateway

// promptTokensPerOutputToken is how many prompt tokens one output token counts as, according to the
// users.
const promptTokensPerOutputToken = 10

// requestSizes tracks the mean size of requests by route. It is safe for concurrent use.
type requestSizes struct{ means *routeMeans }

func newRequestSizes() *requestSizes { return &requestSizes{means: newRouteMeans()} }

// relative records a request's size and returns it relative to the mean of its route.
func (s *requestSizes) relative(route string, in, out int) float64 {
	size := float64(in + promptTokensPerOutputToken*out)
	mean := s.means.add(route, size)
	if mean == 0 {
		return 1
	}
	return size / mean
}
