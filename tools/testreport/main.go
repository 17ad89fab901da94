// Command testreport reads the output of "go test -json" from standard input,
// prints the output of failed packages, counts tests and Ginkgo specs, and
// tolerates only the failures listed in KNOWN-RED.txt, with the symptoms listed
// there. Its exit code is 1 if anything else failed.
package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
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
	// messages are the failure messages of each failed spec, and the output of each
	// test function.
	messages map[string][]string
	section  specSection
}

// specSection is the state of reading Ginkgo's section of a failed spec.
type specSection struct {
	// open is set within the section, spec once its name was read.
	open bool
	spec string
	// inTimeline is set within the spec's own output, inMessage within a message.
	inTimeline, inMessage bool
}

// knownFailure is a test listed in KNOWN-RED.txt.
type knownFailure struct {
	test string
	// symptoms are parts of the failure messages that are tolerated, with single
	// spaces. Without any, all are.
	symptoms []string
}

var (
	sectionStart = regexp.MustCompile(`^\s*\S+ \[(?:FAILED|PANICKED|TIMEDOUT|INTERRUPTED|ABORTED)\] \[[\d.]+ seconds\]$`)
	messageStart = regexp.MustCompile(`^  \[(?:FAILED|PANICKED|TIMEDOUT|INTERRUPTED|ABORTED)\] (.*)$`)
	messageEnd   = regexp.MustCompile(`^  (?:Full Stack Trace|This is the Progress Report)`)
	specCounts   = regexp.MustCompile(`(\d+) Passed \| (\d+) Failed`)
	specFailure  = regexp.MustCompile(`^\s*\[(?:FAIL|PANICKED!|TIMEDOUT|INTERRUPTED)\] (.*\S)\s*$`)
)

func main() {
	known := readKnownRed("KNOWN-RED.txt")
	results := readEvents(os.Stdin)
	os.Exit(report(results, known))
}

// hiddenFailures is what Ginkgo prints in place of the further failures of a spec.
const hiddenFailures = "  There were additional failures detected."

// readKnownRed returns the listed tests. An entry is a paragraph: each of its lines
// "test: NAME" lists a test, each line "symptom: TEXT" a symptom of all of them. It
// returns none if the file can't be read.
func readKnownRed(path string) []knownFailure {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	var known []knownFailure
	for _, entry := range strings.Split(string(data), "\n\n") {
		var tests, symptoms []string
		for _, line := range strings.Split(entry, "\n") {
			if name, ok := strings.CutPrefix(line, "test: "); ok {
				tests = append(tests, strings.TrimSpace(name))
			}
			if symptom, ok := strings.CutPrefix(line, "symptom: "); ok {
				symptoms = append(symptoms, singleSpaced(symptom))
			}
		}
		for _, test := range tests {
			known = append(known, knownFailure{test, symptoms})
		}
	}
	return known
}

func singleSpaced(text string) string { return strings.Join(strings.Fields(text), " ") }

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
			result = &packageResult{suites: make(map[string]bool), messages: make(map[string][]string)}
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
		r.addMessage(strings.TrimRight(ev.Output, "\n"))
		if len(r.messages[ev.Test]) == 0 {
			r.messages[ev.Test] = []string{""}
		}
		r.messages[ev.Test][0] += ev.Output
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

// addSpecs records the spec counts and failed specs in a line of Ginkgo's output,
// unless it is in the section of a failed spec.
func (r *packageResult) addSpecs(test, line string) {
	if r.section.open {
		return
	}
	if m := specCounts.FindStringSubmatch(line); m != nil {
		n, _ := strconv.Atoi(m[1])
		r.passed += n
		r.suites[test] = true
	}
	if m := specFailure.FindStringSubmatch(line); m != nil {
		r.failures = append(r.failures, m[1])
	}
}

// addMessage records the failure messages in the lines of Ginkgo's section of a
// failed spec. Further failures that Ginkgo does not print count as a message of
// their own.
func (r *packageResult) addMessage(line string) {
	c := &r.section
	spec := c.spec
	switch {
	case sectionStart.MatchString(line):
		*c = specSection{open: true}
	case strings.HasPrefix(line, "-----"), strings.HasPrefix(line, "Summarizing "):
		*c = specSection{}
	case !c.open:
	case spec == "":
		c.spec = strings.TrimSpace(line)
	case line == "  Timeline >>" || line == "  << Timeline":
		c.inTimeline = line == "  Timeline >>"
	case c.inTimeline:
	case messageEnd.MatchString(line):
		c.inMessage = false
	case messageStart.MatchString(line):
		c.inMessage = true
		r.messages[spec] = append(r.messages[spec], messageStart.FindStringSubmatch(line)[1])
	case strings.HasPrefix(line, hiddenFailures):
		r.messages[spec] = append(r.messages[spec], line)
	case c.inMessage:
		r.messages[spec][len(r.messages[spec])-1] += "\n" + line
	}
}

// report prints the failures and the totals and returns the exit code.
func report(results map[string]*packageResult, known []knownFailure) int {
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
	for _, k := range known {
		fmt.Printf("KNOWN-RED.txt lists: %s (symptoms: %s)\n", k.test, cmp.Or(strings.Join(k.symptoms, "; "), "any"))
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	if failed > 0 {
		return 1
	}
	return 0
}

// unlisted returns the failures that no entry lists with their symptom. The test function of a
// Ginkgo suite fails whenever one of its specs does, so it is not returned if a
// spec failed.
func unlisted(result *packageResult, known []knownFailure) []string {
	seen := make(map[string]bool)
	var unknown []string
	for _, failure := range result.failures {
		if seen[failure] || (result.suites[failure] && result.specFailed()) {
			continue
		}
		seen[failure] = true
		if !tolerated(failure, result.messages[failure], known) {
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

// tolerated reports whether the name of an entry is part of the failure's name, and
// each of the failure's messages has a symptom of such an entry. A failure without a
// message is tolerated only by an entry without symptoms.
func tolerated(failure string, messages []string, known []knownFailure) bool {
	var symptoms []string
	for _, k := range known {
		if !strings.Contains(failure, k.test) {
			continue
		}
		if len(k.symptoms) == 0 {
			return true
		}
		symptoms = append(symptoms, k.symptoms...)
	}
	for _, message := range messages {
		shown := singleSpaced(message)
		if !slices.ContainsFunc(symptoms, func(symptom string) bool { return strings.Contains(shown, symptom) }) {
			return false
		}
	}
	return len(symptoms) > 0 && len(messages) > 0
}
