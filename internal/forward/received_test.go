package forward

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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

// followsFirst reports whether the first part with an identifier or content, from the given
// one on, has an identifier that is not in known. It is true if there is no such part.
func (s drawnStream) followsFirst(from int, known []string) bool {
	for n := from; n < len(s.parts); n++ {
		if id := s.ids[n]; id != "\x00" {
			return id != "" && !slices.Contains(known, id)
		}
		if strings.Contains(s.parts[n], "data") {
			return false
		}
	}
	return true
}

// checkResumedStream has a drawn stream break off at drawn places and go on, at times with
// another answer than its rest, and compares what the caller receives with a plain reading.
func checkResumedStream(t *rapid.T) {
	s := drawStream(t)
	mark := rapid.SampledFrom([]string{"", byteOrderMark}).Draw(t, "mark")
	lastID := ""
	for range 3 { // responses to the caller, which takes the stream up by itself
		first := s.after(lastID)
		response, complete, received := "", false, receivedBefore(lastID)
		for range 4 { // attempts for one response
			from, continues := s.after(received.lastID), response != ""
			rest, right := strings.Join(s.parts[from:], ""), true
			if continues && received.any && rapid.IntRange(0, 3).Draw(t, "another answer") == 0 {
				other := rapid.SampledFrom([]string{"", "HTTP/1.1 500 Error\r\n\r\nfailed\r\n\r\n", strings.Join(s.parts, "")}).Draw(t, "answer")
				// With identifiers that were reset, another run can't be told.
				if other == "" || other[0] == 'H' || !s.followsFirst(0, s.ids[:from]) {
					rest, right = other, false
				}
			}
			rest = mark + rest
			cut := rapid.IntRange(0, len(rest)).Draw(t, "cut")
			splitter := eventSplitter{wholeEvents: true, continues: continues}
			received.beginAnswer(continues)
			var mismatch error
			for at := 0; at < cut && mismatch == nil; {
				n := rapid.IntRange(1, cut-at).Draw(t, "length")
				var ready []byte
				ready, mismatch = received.accept(splitter.feed([]byte(rest[at : at+n])))
				response, at = response+string(ready), at+n
			}
			if mismatch == nil && cut == len(rest) {
				mismatch = received.checkEnd()
				complete = mismatch == nil
			}
			if complete && !right {
				t.Fatalf("complete with %q\nresponse %q", rest, response)
			}
			if mismatch != nil && right && continues && s.followsFirst(from, s.ids[:from]) && strings.Contains(rest, "data") {
				t.Fatalf("rejected the rest %q: %v\nresponse %q", rest, mismatch, response)
			}
			if complete || mismatch != nil || !received.resumable() {
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

	// Guards against taking an event that the caller has for a further one, or the reverse.
	DescribeTable("tell new identifiers from those received",
		func(received []string, id string, isNew bool) {
			var r receivedEvents
			for _, known := range received {
				r.add(eventFields{id: known, hasID: true, hasContent: true})
			}
			Expect(r.isNew(id)).To(Equal(isNew))
		},
		Entry("a higher number", []string{"9"}, "10", true),
		Entry("the same number", []string{"9"}, " 09", false),
		Entry("a lower number", []string{"1", "10"}, "9", false),
		Entry("a number of more than 64 bits", []string{"99999999999999999999"}, "100000000000000000000", true),
		Entry("a lower number after a text", []string{"5", "x"}, "3", true),
		Entry("a number received, after a text", []string{"5", "x"}, "5", false),
		Entry("another text", []string{"b"}, "a", true),
		Entry("a text received", []string{"a", "b"}, "a ", false),
		Entry("the last text", []string{"b"}, "b", false),
		Entry("none", []string{"b"}, "", true),
	)

	// Guards against holding ever more of a long stream, and against losing its beginning,
	// where another run of it begins.
	It("remember a bounded number of identifiers, the first ones among them", func() {
		var r receivedEvents
		for n := range 3 * maxKnownIDs {
			r.add(eventFields{id: fmt.Sprint("a", n), hasID: true})
		}
		Expect(r.ids).To(HaveLen(maxKnownIDs))
		Expect(r.isNew("a0")).To(BeFalse())
		Expect(r.isNew(fmt.Sprint("a", 3*maxKnownIDs-1))).To(BeFalse(), "the last one")
	})
})
