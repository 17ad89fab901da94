package fleet

// tokensNewConnection is the cost of an endpoint to which a connection has to be opened. It
// is below tokensPerRunning, so that it decides only between endpoints of nearly equal cost.
const tokensNewConnection = 100

// connectionCost returns the cost of the connection to an endpoint, in prompt tokens.
func (r *Registry) connectionCost(m *member) float64 {
	if r.config.Warm == nil || r.config.Warm(m.Address) {
		return 0
	}
	return tokensNewConnection
}
