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
	It("cuts and refuses no request while every host is replaced under load", func() {
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

// load sends a streamed completion to one host every 20 ms until stop, and records
// the failed ones.
type load struct {
	host    *cluster.Host
	key     string
	done    chan struct{}
	senders sync.WaitGroup

	mu     sync.Mutex
	active int
	failed []string
}

func startLoad(host *cluster.Host, key string) *load {
	l := &load{host: host, key: key, done: make(chan struct{})}
	l.senders.Go(func() {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-l.done:
				return
			case <-ticker.C:
				l.senders.Go(l.sendOne)
			}
		}
	})
	return l
}

func (l *load) sendOne() {
	defer GinkgoRecover()
	l.addActive(1)
	defer l.addActive(-1)
	request := cluster.CompletionRequest{Model: cluster.Model, Prompt: unique("load"), MaxTokens: 30, Stream: true}
	response := cluster.NewCaller(l.key).Complete(l.host, request)
	// After the host has closed its port, a refused connection means that nothing
	// was sent.
	if response.IsComplete(request) || errors.Is(response.Err, syscall.ECONNREFUSED) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = append(l.failed, fmt.Sprintf("status %d, error %v, body %s", response.Status, response.Err, response.Body))
}

func (l *load) addActive(delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += delta
}

func (l *load) running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active
}

func (l *load) stop() {
	close(l.done)
	l.senders.Wait()
}

func (l *load) failures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}
