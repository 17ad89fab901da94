package quarantine

import (
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// crashesEvery returns one crash per list of suspects, with a gap between them.
func crashesEvery(gap time.Duration, suspects ...[]Segment) []suspicion {
	var crashes []suspicion
	for i, list := range suspects {
		crashes = append(crashes, suspicion{at: time.Unix(1000, 0).Add(time.Duration(i) * gap), suspects: list})
	}
	return crashes
}

func blamedSegments(crashes []suspicion) []Segment {
	return slices.Sorted(maps.Keys(attribute(crashes)))
}

var _ = Describe("Attribution of crashes", func() {
	const bad, beside, other, rare = Segment(1), Segment(2), Segment(3), Segment(4)

	It("blames the segment that all crashes have in common, after three", func() {
		Expect(blamedSegments(crashesEvery(time.Second, []Segment{bad}, []Segment{bad, beside}))).To(BeEmpty())
		Expect(blamedSegments(crashesEvery(time.Second, []Segment{bad}, []Segment{bad, beside}, []Segment{bad, other}))).To(Equal([]Segment{bad}))
	})

	It("does not blame a segment that is in flight beside the bad one at several crashes", func() {
		Expect(blamedSegments(crashesEvery(time.Second,
			[]Segment{bad, beside}, []Segment{bad, beside}, []Segment{bad, beside}, []Segment{bad}, []Segment{bad, other},
		))).To(Equal([]Segment{bad}))
	})

	It("blames several bad segments at once", func() {
		Expect(blamedSegments(crashesEvery(time.Second,
			[]Segment{bad}, []Segment{other}, []Segment{bad, other}, []Segment{other}, []Segment{bad}, []Segment{other}, []Segment{bad},
		))).To(Equal([]Segment{bad, other}))
	})

	It("waits for five crashes if two segments explain the same ones", func() {
		both := []Segment{bad, beside}
		Expect(blamedSegments(crashesEvery(time.Second, both, both, both, both))).To(BeEmpty())
		Expect(blamedSegments(crashesEvery(time.Second, both, both, both, both, both))).To(Equal(both))
	})

	It("counts the loss of a rack once", func() {
		lost := crashesEvery(time.Millisecond, []Segment{rare}, []Segment{rare}, []Segment{rare, other}, []Segment{rare})
		Expect(blamedSegments(lost)).To(BeEmpty())
	})

	It("returns the times of the crashes in order", func() {
		crashes := crashesEvery(time.Second, []Segment{bad}, []Segment{bad}, []Segment{bad})
		slices.Reverse(crashes)
		times := attribute(crashes)[bad]
		Expect(times).To(HaveLen(3))
		Expect(slices.IsSortedFunc(times, time.Time.Compare)).To(BeTrue())
	})
})
