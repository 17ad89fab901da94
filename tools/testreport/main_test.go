package main

import (
	"encoding/json"
	"os"
	"path/filepath"
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
	known := []knownFailure{{test: "A thing [It] holds"}}
	for _, c := range []struct {
		name  string
		plain bool
		known []knownFailure
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

// failedSpec is Ginkgo's section of a failed spec with the given end, whose own output
// looks like a failure message.
func failedSpec(end string) string {
	return "------------------------------\n• [FAILED] [1.000 seconds]\nA thing [It] holds\n/a/b_test.go:5\n\n" +
		"  Timeline >>\n  [FAILED] other\n  << Timeline\n\n" +
		"  [FAILED] falls\n  Expected\n      <int>: 12\n  to be <=\n      <int>: 2\n  In [It] at: /a/b_test.go:5 @ 12/04/26\n" + end +
		"------------------------------\n\nSummarizing 1 Failure:\n  [FAIL] A thing [It] holds\nFAIL! -- 3 Passed | 1 Failed | 0 Pending\n"
}

// Guards against a known failure that hides a second one of the same test.
func TestReportToleratesOnlyListedSymptoms(t *testing.T) {
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	for _, c := range []struct {
		name, entry, end string
		want             int
	}{
		{"the listed symptom", "test: A thing [It] holds\nsymptom: falls Expected <int>\n", "", 0},
		{"the symptom of a second entry", "test: A thing [It] holds\nsymptom: other\n\ntest: A thing\nsymptom: to be <= <int>: 2\n", "", 0},
		{"another symptom", "test: A thing [It] holds\nsymptom: other\n", "", 1},
		{"a symptom of another test", "test: B thing\nsymptom: falls\n\ntest: A thing [It] holds\nsymptom: other\n", "", 1},
		{"a further failure", "test: A thing [It] holds\nsymptom: falls\n", hiddenFailures + "\n", 1},
		{"any symptom", "test: A thing [It] holds\n", "", 0},
	} {
		if err := os.WriteFile(path, []byte(c.entry), 0o600); err != nil {
			t.Fatal(err)
		}
		var events strings.Builder
		encoder := json.NewEncoder(&events)
		for line := range strings.Lines(failedSpec(c.end)) {
			_ = encoder.Encode(event{Action: "output", Package: "p", Test: "TestSuite", Output: line})
		}
		_ = encoder.Encode(event{Action: "fail", Package: "p", Test: "TestSuite"})
		_ = encoder.Encode(event{Action: "fail", Package: "p"})
		if got := report(readEvents(strings.NewReader(events.String())), readKnownRed(path)); got != c.want {
			t.Errorf("%s: exit code %d, want %d", c.name, got, c.want)
		}
	}
}
