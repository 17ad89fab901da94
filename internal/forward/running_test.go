package forward

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"bilberryslip.example/bilberryslip/internal/drain"
	"bilberryslip.example/bilberryslip/internal/fleet"
	"bilberryslip.example/bilberryslip/internal/traffic"
)

var _ = Describe("A request that the end of a shutdown cuts", func() {
	// Guards against a cut of which the log says nothing.
	It("is logged with its arrival on the connection and relative to the shutdown", func() {
		began := time.Now()
		now := began
		clock := func() time.Time { return now }
		stop := drain.New(drain.Config{Clock: clock})
		Expect(stop.Begin(drain.Timing{})).To(BeTrue())
		now = began.Add(time.Second)
		f := New(Config{Stop: stop, Clock: clock, Endpoints: fleet.NewRegistry(fleet.Config{})})
		f.running.add(&inflightCall{forwarder: f, service: "llm", started: began, call: &Call{
			Request: traffic.Request{ID: "late"},
			Arrival: Arrival{ConnectionAge: 3 * time.Second, HeadAt: began.Add(200 * time.Millisecond), BodyAt: began.Add(700 * time.Millisecond)},
		}})
		var log bytes.Buffer
		out := logrus.StandardLogger().Out
		logrus.SetOutput(&log)
		defer logrus.SetOutput(out)
		f.LogUnfinished()
		for _, field := range []string{"request=late", "connection_age_ms=3000", "earlier_requests=0", "head_after_stop_ms=200", "body_after_stop_ms=700", "events=0"} {
			Expect(log.String()).To(ContainSubstring(field))
		}
	})
})
