package process_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/standin/relay"
	"bilberryslip.example/bilberryslip/test/cluster"
)

var _ = Describe("A caller gets the complete response to its own request", func() {
	var (
		c      *cluster.Cluster
		caller *cluster.Caller
	)

	start := func(args ...string) {
		GinkgoHelper()
		c = cluster.Start(programs, cluster.Options{EnginesPerZone: 2, EngineArgs: append(args, "--first-token", "5ms", "--token-interval", "2ms")})
		caller = cluster.NewCaller(c.GrantKey(c.Hosts[0], "key", cluster.OrganisationA))
		caller.ExpectServes(c.Hosts[0])
	}
	// complete sends a request to a host while the engines have a fault.
	complete := func(engines []*cluster.Engine, stream bool, change cluster.Change) (*cluster.Response, cluster.CompletionRequest) {
		GinkgoHelper()
		for _, engine := range engines {
			engine.Control(change)
		}
		request := cluster.CompletionRequest{Model: cluster.Adapter, Prompt: unique("whole"), MaxTokens: 24, Stream: stream}
		return caller.Complete(c.Hosts[0], request), request
	}
	reset := func() {
		GinkgoHelper()
		for _, engine := range c.Engines {
			engine.Control(cluster.Change{"cut": 0, "crossed": 0, "doubled": 0, "silent": 0, "late": 0, "errors": 0})
		}
	}

	// Each entry starts its own cluster, because a host's retry budget would be used
	// up over several entries.
	DescribeTable("when engines", func(faults ...responseFault) {
		start()
		for _, fault := range faults {
			for _, engine := range c.Engines {
				response, request := complete([]*cluster.Engine{engine}, fault.stream, fault.change)
				Expect(response.IsComplete(request)).To(BeTrue(), "%+v: status %d, error %v, body %s", fault, response.Status, response.Err, response.Body)
				reset()
			}
		}
	},
		Entry("cut a stream", cutStream(1), cutStream(7), cutStream(23), cutStream(24), cutStream(25)),
		Entry("cut a response before its first token", cutStream(0), responseFault{false, cluster.Change{"cut": 1, "cutAfter": 0}}),
		Entry("go silent", responseFault{true, cluster.Change{"silent": 1, "silentAfter": 5}}, responseFault{true, cluster.Change{"silent": 1, "silentAfter": 0}}),
		Entry("send another attempt's response", responseFault{true, cluster.Change{"crossed": 1}}, responseFault{false, cluster.Change{"crossed": 1}}),
		Entry("send events twice", responseFault{true, cluster.Change{"doubled": 1}}, responseFault{false, cluster.Change{"doubled": 1}}),
		Entry("respond late", responseFault{true, cluster.Change{"late": 1, "lateMillis": 300}}, responseFault{false, cluster.Change{"late": 1, "lateMillis": 300}}),
		Entry("fail at once", responseFault{true, cluster.Change{"errors": 1}}, responseFault{false, cluster.Change{"errors": 1}}),
	)

	It("when connections to engines go silent or are reset", func() {
		start()
		for _, breakLink := range []func(*relay.Relay){(*relay.Relay).Blackhole, (*relay.Relay).Reset} {
			for _, stream := range []bool{true, false} {
				for _, engine := range c.Engines {
					breakLink(engine.Relay)
				}
				response, request := complete(nil, stream, nil)
				Expect(response.IsComplete(request)).To(BeTrue(), "status %d, error %v, body %s", response.Status, response.Err, response.Body)
			}
		}
	})

	It("or an explicit error when an incomplete response cannot be resumed", func() {
		start("--refuse-resume")
		for _, change := range []cluster.Change{
			{"cut": 100, "cutAfter": 3},
			{"silent": 100, "silentAfter": 3},
			{"crossed": 100},
		} {
			for _, stream := range []bool{true, false} {
				response, request := complete(c.Engines, stream, change)
				Expect(response.OK() && strings.Contains(response.Body, "[DONE]")).To(BeFalse(), response.Body)
				Expect(response.Body).To(ContainSubstring(`"error"`))
				Expect(request.Generation().Text()).To(HavePrefix(response.Text()))
				reset()
			}
		}
	})
})

// responseFault is a fault that engines inject into their next response, and
// whether the request is for a stream.
type responseFault struct {
	stream bool
	change cluster.Change
}

// cutStream returns a fault that cuts a stream after the given number of events.
func cutStream(after int) responseFault {
	return responseFault{true, cluster.Change{"cut": 1, "cutAfter": after}}
}
