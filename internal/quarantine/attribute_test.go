package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// crashesEvery returns one crash per list of suspects, with a gap between them.
func crashesEvery(gap time.Duration, suspects ...[]Suspect) []suspicion {
	var crashes []suspicion
	for i, list := range suspects {
		crashes = append(crashes, suspicion{at: time.Unix(1000, 0).Add(time.Duration(i) * gap), suspects: list})
	}
	return crashes
}

func segment(n int) Suspect { return Suspect{KindSegment, uint64(n)} }

func request(n int) Suspect { return Suspect{KindRequest, uint64(n)} }

// blamed returns the suspects that are blamed, requests last.
func blamed(crashes []suspicion) []Suspect {
	return slices.SortedFunc(maps.Keys(attribute(crashes)), func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Hash, b.Hash))
	})
}

var _ = Describe("Attribution of crashes", func() {
	bad, beside, other, rare := segment(1), segment(2), segment(3), segment(4)

	It("blames the segment that all crashes have in common, after three", func() {
		Expect(blamed(crashesEvery(time.Second, []Suspect{bad}, []Suspect{bad, beside}))).To(BeEmpty())
		Expect(blamed(crashesEvery(time.Second, []Suspect{bad}, []Suspect{bad, beside}, []Suspect{bad, other}))).To(Equal([]Suspect{bad}))
	})

	It("does not blame a segment that is in flight beside the bad one at several crashes", func() {
		Expect(blamed(crashesEvery(time.Second,
			[]Suspect{bad, beside}, []Suspect{bad, beside}, []Suspect{bad, beside}, []Suspect{bad}, []Suspect{bad, other},
		))).To(Equal([]Suspect{bad}))
	})

	It("blames several bad segments at once", func() {
		Expect(blamed(crashesEvery(time.Second,
			[]Suspect{bad}, []Suspect{other}, []Suspect{bad, other}, []Suspect{other}, []Suspect{bad}, []Suspect{other}, []Suspect{bad},
		))).To(Equal([]Suspect{bad, other}))
	})

	It("waits for five crashes if two segments explain the same ones", func() {
		both := []Suspect{bad, beside}
		Expect(blamed(crashesEvery(time.Second, both, both, both, both))).To(BeEmpty())
		Expect(blamed(crashesEvery(time.Second, both, both, both, both, both))).To(Equal(both))
	})

	It("counts the loss of a rack once", func() {
		lost := crashesEvery(time.Millisecond, []Suspect{rare}, []Suspect{rare}, []Suspect{rare, other}, []Suspect{rare})
		Expect(blamed(lost)).To(BeEmpty())
	})

	It("blames a request that was in flight at three crashes, and not its segments", func() {
		bad := request(1)
		Expect(blamed(crashesEvery(time.Second, []Suspect{bad, rare}, []Suspect{bad, rare, beside}))).To(BeEmpty())
		Expect(blamed(crashesEvery(time.Second, []Suspect{bad, rare}, []Suspect{bad, rare, beside}, []Suspect{bad, rare}))).To(Equal([]Suspect{bad}))
	})

	It("blames requests that crash endpoints in turn, beside sound ones that are in flight at one crash each", func() {
		Expect(blamed(crashesEvery(time.Second,
			[]Suspect{request(1), request(3)}, []Suspect{request(2), request(4)}, []Suspect{request(1), request(2)},
			[]Suspect{request(2), request(5)}, []Suspect{request(1)},
		))).To(Equal([]Suspect{request(1), request(2)}))
	})

	It("blames a request that crashes three endpoints within milliseconds, by our own repeats", func() {
		Expect(blamed(crashesEvery(5*time.Millisecond, []Suspect{request(1)}, []Suspect{request(1)}, []Suspect{request(1)}))).To(Equal([]Suspect{request(1)}))
	})

	It("blames a segment in place of the repeats of one request with it, as soon as others with it crash endpoints", func() {
		Expect(blamed(crashesEvery(time.Second,
			[]Suspect{bad, request(1)}, []Suspect{bad, request(1)}, []Suspect{bad, request(2)}, []Suspect{bad, request(3)},
		))).To(Equal([]Suspect{bad}))
	})

	It("returns the times of the crashes in order", func() {
		crashes := crashesEvery(time.Second, []Suspect{bad}, []Suspect{bad}, []Suspect{bad})
		slices.Reverse(crashes)
		times := attribute(crashes)[bad]
		Expect(times).To(HaveLen(3))
		Expect(slices.IsSortedFunc(times, time.Time.Compare)).To(BeTrue())
	})
})
