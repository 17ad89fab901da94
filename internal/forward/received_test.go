package forward

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"
)

// plainEvent is an event as a plain reading of a whole stream finds it.
type plainEvent struct{ ID, Data string }

var lineEnds = regexp.MustCompile("\r\n|\n|\r")

// readPlainly reads the events of a whole stream whose reader remembers lastID, and
// returns them and the identifier that the reader remembers at the end.
func readPlainly(stream, lastID string) ([]plainEvent, string) {
	var events []plainEvent
	lines := lineEnds.Split(strings.TrimPrefix(stream, "\uFEFF"), -1)
	id, data, hasData := lastID, "", false
	for _, line := range lines[:len(lines)-1] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case line == "":
			if lastID = id; hasData {
				events = append(events, plainEvent{id, data})
			}
			data, hasData = "", false
		case name == "id" && !strings.Contains(value, "\x00"):
			id = value
		case name == "data":
			data, hasData = data+value+"\n", true
		}
	}
	return events, lastID
}

// drawnStream is a stream of events that its endpoint can resume.
type drawnStream struct {
	// parts are its events, comments and other parts, each with the blank line at its end.
	parts []string
	// ids are the identifiers that the parts name, as header fields carry them; the NUL
	// stands for none.
	ids []string
}

func drawStream(t *rapid.T) drawnStream {
	var s drawnStream
	end := rapid.SampledFrom([]string{"\n", "\r", "\r\n"}).Draw(t, "line end")
	for n := range rapid.IntRange(1, 12).Draw(t, "parts") {
		id, lines := "\x00", []string{"data: piece " + fmt.Sprint(n)}
		switch rapid.IntRange(0, 11).Draw(t, "kind") {
		case 0:
			lines = []string{": comment"}
		case 1:
			lines = []string{"retry: 100"}
		case 2:
			lines = nil
		case 3: // without an identifier
		case 4:
			lines = append(lines, "id: "+fmt.Sprint(n)+"\x00")
		case 5:
			id, lines = "", append(lines, rapid.SampledFrom([]string{"id", "id:", "id: "}).Draw(t, "reset"))
		case 6:
			id, lines = fmt.Sprint(n), []string{"id:" + fmt.Sprint(n)}
		default:
			id = fmt.Sprint(n)
			name := rapid.SampledFrom([]string{"id:", "id: ", "id:  "}).Draw(t, "field") + id
			lines = slices.Insert(append(lines, ": note", "data", "other: x"), rapid.IntRange(0, 4).Draw(t, "place"), name)
		}
		s.ids = append(s.ids, id)
		s.parts = append(s.parts, strings.Join(append(lines, "", ""), end))
		if lines == nil {
			s.parts[n] = end
		}
	}
	return s
}

// after returns the number of parts up to the one with an identifier.
func (s drawnStream) after(lastID string) int {
	if lastID == "" {
		return 0
	}
	return 1 + slices.Index(s.ids, strings.TrimSpace(lastID))
}

// checkResumedStream has a drawn stream break off at drawn places and go on, and compares
// what the caller receives with a plain reading of it.
func checkResumedStream(t *rapid.T) {
	s := drawStream(t)
	mark := rapid.SampledFrom([]string{"", byteOrderMark}).Draw(t, "mark")
	lastID := ""
	for range 3 { // responses to the caller, which takes the stream up by itself
		first := s.after(lastID)
		response, complete, received := "", false, receivedBefore(lastID)
		for range 4 { // attempts for one response
			rest := mark + strings.Join(s.parts[s.after(received.lastID):], "")
			cut := rapid.IntRange(0, len(rest)).Draw(t, "cut")
			splitter := eventSplitter{wholeEvents: true, continues: response != ""}
			for at := 0; at < cut; {
				n := rapid.IntRange(1, cut-at).Draw(t, "length")
				ready := splitter.feed([]byte(rest[at : at+n]))
				if len(ready) > 0 {
					received.read(ready)
				}
				response, at = response+string(ready), at+n
			}
			if complete = cut == len(rest); complete || !received.resumable() {
				break
			}
		}
		want, _ := readPlainly(strings.Join(s.parts[first:], ""), lastID)
		got, remembered := readPlainly(response, lastID)
		if len(got) > len(want) || !slices.Equal(got, want[:len(got)]) || complete && len(got) < len(want) {
			t.Fatalf("after %q: got %q of %q\nresponse %q", lastID, got, want, response)
		}
		if remembered != received.lastID {
			t.Fatalf("remembers %q, the caller %q\nresponse %q", received.lastID, remembered, response)
		}
		lastID = remembered
	}
}

// FuzzResumedStream searches for streams that a caller receives otherwise than a plain
// reader of the whole stream, over cuts and resumptions.
func FuzzResumedStream(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkResumedStream)) }

var _ = Describe("Received events", func() {
	// Guards against events that are missing or come twice where a stream goes on.
	It("are those of a plain reading of the stream, wherever it is cut and goes on", func() {
		rapid.Check(GinkgoT(), checkResumedStream)
	})
})
