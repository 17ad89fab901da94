package main

import (
	"strings"
	"testing"
)

// suiteOutput returns the events of a package with a failed spec and, if plain is
// set, a failed test function that is not a suite.
func suiteOutput(plain bool) string {
	lines := []string{
		`{"Action":"output","Package":"p","Test":"TestSuite","Output":"  [FAIL] A thing [It] holds\n"}`,
		`{"Action":"output","Package":"p","Test":"TestSuite","Output":"FAIL! -- 3 Passed | 1 Failed | 0 Pending\n"}`,
		`{"Action":"fail","Package":"p","Test":"TestSuite"}`,
	}
	if plain {
		lines = append(lines, `{"Action":"fail","Package":"p","Test":"TestPlain"}`)
	}
	return strings.Join(append(lines, `{"Action":"fail","Package":"p"}`), "\n")
}

func TestReportToleratesOnlyListedFailures(t *testing.T) {
	known := []string{"A thing [It] holds"}
	for _, c := range []struct {
		name  string
		plain bool
		known []string
		want  int
	}{
		{"a listed spec", false, known, 0},
		{"a spec that is not listed", false, nil, 1},
		{"a listed spec and an unlisted test function", true, known, 1},
	} {
		if got := report(readEvents(strings.NewReader(suiteOutput(c.plain))), c.known); got != c.want {
			t.Errorf("%s: exit code %d, want %d", c.name, got, c.want)
		}
	}
	crashed := `{"Action":"output","Package":"p","Output":"panic"}` + "\n" + `{"Action":"fail","Package":"p"}`
	if report(readEvents(strings.NewReader(crashed)), known) == 0 {
		t.Error("a package that failed without a failed test was tolerated")
	}
}
