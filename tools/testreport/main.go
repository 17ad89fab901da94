// Command testreport reads the output of "go test -json" from standard input,
// prints the output of failed packages, counts tests and Ginkgo specs, and
// tolerates only the failures listed in KNOWN-RED.txt. Its exit code is 1 if
// anything else failed.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// maxLineBytes is the maximum length of a line of test output; reading ends at
// a longer one.
const maxLineBytes = 16 << 20

// event is one line of "go test -json"; see "go doc test2json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// packageResult collects the results of one package.
type packageResult struct {
	output strings.Builder
	// passed is the number of passed tests and specs.
	passed int
	// failures are the names of failed tests and specs.
	failures []string
	failed   bool
	// suites are the names of the test functions that run Ginkgo specs.
	suites map[string]bool
}

var (
	specCounts  = regexp.MustCompile(`(\d+) Passed \| (\d+) Failed`)
	specFailure = regexp.MustCompile(`^\s*\[(?:FAIL|PANICKED!|TIMEDOUT|INTERRUPTED)\] (.*\S)\s*$`)
)

func main() {
	known := readKnownRed("KNOWN-RED.txt")
	results := readEvents(os.Stdin)
	os.Exit(report(results, known))
}

// readKnownRed returns the test names of the entries: the rest of each line that
// begins with "test: ". It returns none if the file can't be read.
func readKnownRed(path string) []string {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	var names []string
	for _, line := range strings.Split(string(data), "\n") {
		if name, ok := strings.CutPrefix(line, "test: "); ok {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// readEvents reads events until EOF and returns the results by package. Lines
// that are not JSON are printed.
func readEvents(f io.Reader) map[string]*packageResult {
	results := make(map[string]*packageResult)
	scanner := bufio.NewScanner(f)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	for scanner.Scan() {
		var ev event
		if err := json.Unmarshal(scanner.Bytes(), &ev); err != nil {
			fmt.Println(scanner.Text())
			continue
		}
		result, ok := results[ev.Package]
		if !ok {
			result = &packageResult{suites: make(map[string]bool)}
			results[ev.Package] = result
		}
		result.add(ev)
	}
	return results
}

func (r *packageResult) add(ev event) {
	switch ev.Action {
	case "output", "build-output":
		r.output.WriteString(ev.Output)
		r.addSpecs(ev.Test, ev.Output)
	case "pass":
		if ev.Test != "" {
			r.passed++
		}
	case "fail", "build-fail":
		if ev.Test != "" {
			r.failures = append(r.failures, ev.Test)
		}
		r.failed = true
	}
}

// addSpecs records the spec counts and failed specs in a line of Ginkgo's output.
func (r *packageResult) addSpecs(test, line string) {
	if m := specCounts.FindStringSubmatch(line); m != nil {
		n, _ := strconv.Atoi(m[1])
		r.passed += n
		r.suites[test] = true
	}
	if m := specFailure.FindStringSubmatch(line); m != nil {
		r.failures = append(r.failures, m[1])
	}
}

// report prints the failures and the totals and returns the exit code.
func report(results map[string]*packageResult, known []string) int {
	var names []string
	for name := range results {
		names = append(names, name)
	}
	sort.Strings(names)
	passed, failed := 0, 0
	for _, name := range names {
		result := results[name]
		passed += result.passed
		if !result.failed {
			continue
		}
		unknown := unlisted(result, known)
		if len(unknown) == 0 && len(result.failures) > 0 {
			fmt.Printf("KNOWN RED in %s: %s\n", name, strings.Join(result.failures, "; "))
			continue
		}
		failed += max(1, len(unknown))
		fmt.Printf("FAILED %s\n%s\n", name, result.output.String())
	}
	for _, name := range known {
		fmt.Printf("KNOWN-RED.txt lists: %s\n", name)
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// unlisted returns the failures that no entry lists. The test function of a
// Ginkgo suite fails whenever one of its specs does, so it is not returned if a
// spec failed.
func unlisted(result *packageResult, known []string) []string {
	seen := make(map[string]bool)
	var unknown []string
	for _, failure := range result.failures {
		if seen[failure] || (result.suites[failure] && result.specFailed()) {
			continue
		}
		seen[failure] = true
		if !matches(failure, known) {
			unknown = append(unknown, failure)
		}
	}
	return unknown
}

// specFailed reports whether a Ginkgo spec failed. Unlike the names of test
// functions, those of specs contain spaces.
func (r *packageResult) specFailed() bool {
	for _, failure := range r.failures {
		if strings.Contains(failure, " ") {
			return true
		}
	}
	return false
}

// matches reports whether the name of an entry is part of the failure's name.
func matches(failure string, known []string) bool {
	for _, name := range known {
		if strings.Contains(failure, name) {
			return true
		}
	}
	return false
}
