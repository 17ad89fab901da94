// Package process_test runs the real programs as processes and injects the failures
// that the system has to tolerate: kills, pauses, reset and silent connections,
// platform outages and lost responses.
package process_test

import (
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/test/cluster"
)

var programs cluster.Programs

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "Process Suite")
}

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "bilberryslip-programs")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	programs = cluster.Build(dir)
})

// onAll calls a function for all hosts concurrently and returns the results in the
// order of the hosts.
func onAll[T any](hosts []*cluster.Host, call func(*cluster.Host) T) []T {
	results := make([]T, len(hosts))
	var calls sync.WaitGroup
	for i, host := range hosts {
		calls.Go(func() { results[i] = call(host) })
	}
	calls.Wait()
	return results
}

// unique returns the prefix with a number that no other request of the suite has.
var unique = func() func(prefix string) string {
	var mu sync.Mutex
	last := 0
	return func(prefix string) string {
		mu.Lock()
		defer mu.Unlock()
		last++
		return prefix + "-" + strconv.Itoa(last)
	}
}()
