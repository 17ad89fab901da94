package process_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/standin/relay"
	"bilberryslip.example/bilberryslip/test/cluster"
)

var _ = Describe("A caller gets the whole answer to its own request", func() {
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
	// complete asks while the engines have a fault.
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

	// Each entry has a cluster of its own, since hosts bound their retries by
	// a budget.
	DescribeTable("when engines", func(faults ...answerFault) {
		start()
		for _, fault := range faults {
			for _, engine := range c.Engines {
				answer, request := complete([]*cluster.Engine{engine}, fault.stream, fault.change)
				Expect(answer.IsComplete(request)).To(BeTrue(), "%+v: status %d, error %v, body %s", fault, answer.Status, answer.Err, answer.Body)
				reset()
			}
		}
	},
		Entry("cut a stream", cutStream(1), cutStream(7), cutStream(23), cutStream(24), cutStream(25)),
		Entry("cut an answer before its first token", cutStream(0), answerFault{false, cluster.Change{"cut": 1, "cutAfter": 0}}),
		Entry("go silent", answerFault{true, cluster.Change{"silent": 1, "silentAfter": 5}}, answerFault{true, cluster.Change{"silent": 1, "silentAfter": 0}}),
		Entry("cross answers", answerFault{true, cluster.Change{"crossed": 1}}, answerFault{false, cluster.Change{"crossed": 1}}),
		Entry("send events twice", answerFault{true, cluster.Change{"doubled": 1}}, answerFault{false, cluster.Change{"doubled": 1}}),
		Entry("are late", answerFault{true, cluster.Change{"late": 1, "lateMillis": 300}}, answerFault{false, cluster.Change{"late": 1, "lateMillis": 300}}),
		Entry("fail at once", answerFault{true, cluster.Change{"errors": 1}}, answerFault{false, cluster.Change{"errors": 1}}),
	)

	It("when connections to engines are silent or reset", func() {
		start()
		for _, breakLink := range []func(*relay.Relay){(*relay.Relay).Silence, (*relay.Relay).Cut} {
			for _, stream := range []bool{true, false} {
				for _, engine := range c.Engines {
					breakLink(engine.Relay)
				}
				answer, request := complete(nil, stream, nil)
				Expect(answer.IsComplete(request)).To(BeTrue(), "status %d, error %v, body %s", answer.Status, answer.Err, answer.Body)
			}
		}
	})

	It("or an explicit error where a cut cannot be mended", func() {
		start("--refuse-resume")
		for _, change := range []cluster.Change{
			{"cut": 100, "cutAfter": 3},
			{"silent": 100, "silentAfter": 3},
			{"crossed": 100},
		} {
			for _, stream := range []bool{true, false} {
				answer, request := complete(c.Engines, stream, change)
				Expect(answer.OK() && strings.Contains(answer.Body, "[DONE]")).To(BeFalse(), answer.Body)
				Expect(answer.Body).To(ContainSubstring(`"error"`))
				Expect(request.Generation().Text()).To(HavePrefix(answer.Text()))
				reset()
			}
		}
	})
})

// answerFault is a fault of the coming answer, streamed or plain.
type answerFault struct {
	stream bool
	change cluster.Change
}

func cutStream(after int) answerFault {
	return answerFault{true, cluster.Change{"cut": 1, "cutAfter": after}}
}
