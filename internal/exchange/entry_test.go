package exchange

import (
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	fleetv1 "bilberryslip.example/bilberryslip/api/fleet/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore"
)

// Guards against a peer that is dropped, or called at a wrong address, since another program
// has overwritten its entry.
var _ = Describe("A host's entry by another program", func() {
	DescribeTable("changes nothing that is known of the host", func(value string) {
		s := New(Config{Host: "a", Incarnation: "1"})
		put := func(version objectstore.Version, value string) {
			s.Apply(objectstore.Event{Type: objectstore.EventPut, Version: version, Object: objectstore.Object{Kind: KindHost, Name: "b", Version: version, Value: []byte(value)}})
		}
		put(1, `{"address":"10.0.0.2:7","incarnation":"1"}`)
		s.handleReport(time.Now(), time.Time{}, &fleetv1.Report{Host: "b", Incarnation: "1", Address: "10.0.0.2:7"})
		put(2, value)
		Expect(s.roster.peers["b"].address).To(Equal("10.0.0.2:7"))
		Expect(s.roster.peers["b"].report).NotTo(BeNil())
		Expect(s.Reachability().Reachable).To(Equal([]string{"b"}))
	},
		Entry("nested too deep", strings.Repeat("[", 11_000)+strings.Repeat("]", 11_000)),
		Entry("without a field", `{"address":"10.0.0.2:7"}`),
		Entry("with a port out of range", `{"address":"10.0.0.2:99999","incarnation":"2"}`),
		Entry("without a port", `{"address":"10.0.0.2","incarnation":"2"}`),
		Entry("that is empty", `{}`),
		Entry("without a value", ``),
	)

	// Guards against an overflow that makes a lease look expired, and against one held for ever.
	It("bounds the time for which a report says that the lease is held", func() {
		now := time.Unix(1_700_000_000, 0)
		r := newRoster("a")
		r.recordReport(now, &fleetv1.Report{Host: "b", Incarnation: "1", Lease: &fleetv1.Lease{LeftMillis: math.MaxInt64}})
		Expect(r.leader(now)).NotTo(BeNil())
		Expect(r.leader(now.Add(maxLeaseLeft))).To(BeNil())
	})
})
