package process_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
		caller = cluster.NewCaller(c.Grant(c.Hosts[0], "key", cluster.OrganisationA))
		caller.ExpectServes(c.Hosts[0])
	}
	// complete asks while the engines have a fault.
	complete := func(engines []*cluster.Engine, stream bool, change cluster.Change) (*cluster.Answer, cluster.Completion) {
		GinkgoHelper()
		for _, engine := range engines {
			engine.Control(change)
		}
		request := cluster.Completion{Model: cluster.Adapter, Prompt: unique("whole"), MaxTokens: 24, Stream: stream}
		return caller.Complete(c.Hosts[0], request), request
	}
	reset := func() {
		GinkgoHelper()
		for _, engine := range c.Engines {
			engine.Control(cluster.Change{"cut": 0, "crossed": 0, "doubled": 0, "silent": 0, "late": 0, "errors": 0})
		}
	}

	It("when engines cut, cross, double, silence, delay or fail answers, and resume", func() {
		start()
		whole := func(name string, stream bool, change cluster.Change) {
			GinkgoHelper()
			for _, engine := range c.Engines {
				answer, request := complete([]*cluster.Engine{engine}, stream, change)
				Expect(answer.Whole(request)).To(BeTrue(), "%s, stream %v: status %d, error %v, body %s", name, stream, answer.Status, answer.Err, answer.Body)
				reset()
			}
		}
		for _, after := range []int{0, 1, 7, 23, 24, 25} {
			whole("cut", true, cluster.Change{"cut": 1, "cutAfter": after})
		}
		whole("silent", true, cluster.Change{"silent": 1, "silentAfter": 5})
		for _, stream := range []bool{true, false} {
			whole("crossed", stream, cluster.Change{"crossed": 1})
			whole("doubled", stream, cluster.Change{"doubled": 1})
			whole("late", stream, cluster.Change{"late": 1, "lateMillis": 300})
			whole("failing", stream, cluster.Change{"errors": 1})
		}
		whole("cut", false, cluster.Change{"cut": 1, "cutAfter": 0})
		for _, engine := range c.Engines {
			engine.Relay.Silence()
		}
		whole("silent connections", true, cluster.Change{})
		for _, engine := range c.Engines {
			engine.Relay.Cut()
		}
		whole("reset connections", false, cluster.Change{})
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
