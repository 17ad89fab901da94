package gateway

import "testing"

// TestResponsesOfDetachedCall guards against responses that are released while the caller's
// part of a call, or the detached part, still uses them.
func TestResponsesOfDetachedCall(t *testing.T) {
	held, released := &heldResponses{}, 0
	caller := held.use()
	detached := held.use()
	held.add(func() { released++ })
	held.add(func() { released++ })
	caller()
	if released > 0 {
		t.Error("released while the detached call uses them")
	}
	detached()
	if released != 2 {
		t.Errorf("%d of 2 responses released", released)
	}
}
