package gateway

import "sync"

// heldResponses are the responses of a service call that are held in memory. The call and its
// detached copy, which may outlive it, use them.
type heldResponses struct {
	mu       sync.Mutex
	users    int
	releases []func()
}

// use adds a user, which must call the returned function once it needs no response any more.
// The responses are released after the last one.
func (h *heldResponses) use() (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.users++
	return h.end
}

func (h *heldResponses) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.users--
	if h.users > 0 {
		return
	}
	for _, release := range h.releases {
		release()
	}
	h.releases = nil
}

// add adds a response. It must be called by a user.
func (h *heldResponses) add(release func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.releases = append(h.releases, release)
}
