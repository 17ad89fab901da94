package responsebuffer

import (
	"errors"
	"strings"
	"testing"
)

var errTooLarge = errors.New("too large")

// TestBudgetOfAllBodies guards against bodies that are bounded each but not together.
func TestBudgetOfAllBodies(t *testing.T) {
	const size, held = 4 * piece, 3
	budget := New(held * size)
	read := func() (func(), error) {
		body, release, err := budget.Read(strings.NewReader(strings.Repeat("x", size)), size, errTooLarge)
		if err == nil && len(body) != size {
			t.Fatalf("read %d of %d bytes", len(body), size)
		}
		return release, err
	}
	var releases []func()
	for range held {
		release, err := read()
		if err != nil {
			t.Fatal(err)
		}
		releases = append(releases, release)
	}
	release, err := read()
	if !errors.Is(err, ErrBudget) {
		t.Fatalf("a body beyond the budget: %v", err)
	}
	release() // what was read of it
	releases[0]()
	if _, err := read(); err != nil {
		t.Fatalf("a body after one was released: %v", err)
	}
}

// TestBoundOfOneBody guards against an error at a body that has just the largest size.
func TestBoundOfOneBody(t *testing.T) {
	const most = piece + 7
	for size, want := range map[int]error{0: nil, most: nil, most + 1: errTooLarge, 10 * most: errTooLarge} {
		_, release, err := New(100*piece).Read(strings.NewReader(strings.Repeat("x", size)), most, errTooLarge)
		release()
		if !errors.Is(err, want) {
			t.Errorf("%d bytes: %v", size, err)
		}
	}
}
