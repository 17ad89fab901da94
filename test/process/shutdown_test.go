package process_test

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/test/cluster"
)

var _ = Describe("A graceful shutdown", func() {
	It("cuts and refuses nothing while every host is replaced under load", func() {
		c := cluster.Start(programs, cluster.Options{Zones: 2, EnginesPerZone: 1, EngineArgs: []string{"--token-interval", "20ms", "--max-concurrent", "0"}})
		key := c.GrantKey(c.Hosts[0], "key", cluster.OrganisationA)
		for _, host := range c.Hosts {
			cluster.NewCaller(key).ExpectServes(host)
		}
		for i, old := range append([]*cluster.Host{}, c.Hosts...) {
			replacement := c.StartHost(fmt.Sprintf("replacement-%d", i), old.Zone)
			cluster.NewCaller(key).ExpectServes(replacement)
			load := startLoad(old, key)
			Eventually(load.running).Should(BeNumerically(">=", 20))
			old.Terminate()
			Eventually(old.Exited(), "25s").Should(BeClosed())
			Expect(old.ExitCode()).To(BeZero())
			load.stop()
			Expect(load.failures()).To(BeEmpty())
			c.RemoveFromHostList(old)
		}
	})
})

// load sends streams to one host until a connection is refused.
type load struct {
	host *cluster.Host
	key  string
	done chan struct{}
	all  sync.WaitGroup

	mu     sync.Mutex
	active int
	failed []string
}

func startLoad(host *cluster.Host, key string) *load {
	l := &load{host: host, key: key, done: make(chan struct{})}
	l.all.Go(func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-l.done:
				return
			case <-ticker.C:
				l.all.Go(l.one)
			}
		}
	})
	return l
}

func (l *load) one() {
	defer GinkgoRecover()
	l.count(1)
	defer l.count(-1)
	request := cluster.CompletionRequest{Model: cluster.Model, Prompt: unique("load"), MaxTokens: 30, Stream: true}
	answer := cluster.NewCaller(l.key).Complete(l.host, request)
	// Once the host has left, its port is closed: nothing was sent to it.
	if answer.IsComplete(request) || errors.Is(answer.Err, syscall.ECONNREFUSED) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = append(l.failed, fmt.Sprintf("status %d, error %v, body %s", answer.Status, answer.Err, answer.Body))
}

func (l *load) count(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += change
}

func (l *load) running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active
}

func (l *load) stop() {
	close(l.done)
	l.all.Wait()
}

func (l *load) failures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}
