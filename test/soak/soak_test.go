//go:build soak

// Package soak_test runs real processes under load and injects random faults chosen
// by a seed. It prints counts of request outcomes, faults and violations as JSON.
package soak_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/settings"
	"bilberryslip.example/bilberryslip/test/cluster"
)

var (
	seed     = flag.Uint64("soak.seed", 1, "seed of the random faults and of the load")
	duration = flag.Duration("soak.duration", time.Minute, "how long the load runs")
)

const (
	zones           = 3
	hostsPerZone    = 2
	enginesPerZone  = 3
	servicesPerZone = 1
	// recoveryLimit is the time after the last fault within which every host has to
	// serve every model again.
	recoveryLimit = time.Minute
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(30 * time.Second)
	RunSpecs(t, "Soak")
}

var _ = It("keeps its invariants under random faults", func() {
	dir, err := os.MkdirTemp("", "bilberryslip-programs")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	c := cluster.Start(cluster.Build(dir), cluster.Options{
		Zones: zones, HostsPerZone: hostsPerZone, EnginesPerZone: enginesPerZone, ServicesPerZone: servicesPerZone,
		EngineArgs: []string{"--token-interval", "3ms"},
		Objects:    objects(),
		Settings: func(s *settings.Settings) {
			s.FatalInvariants = false
			s.Log.Level = "info"
			s.Shares.Lease = settings.Duration(5 * time.Second)
			s.Placement.Lease = settings.Duration(5 * time.Second)
			s.Placement.LoadsPerSecond = 10
		},
	})
	callers := make(map[string]*cluster.Caller)
	for _, organisation := range []string{cluster.OrganisationA, cluster.OrganisationB, limitedOrganisation} {
		callers[organisation] = cluster.NewCaller(c.GrantKey(c.Hosts[0], "key-"+organisation, organisation))
	}
	for _, host := range c.Hosts {
		callers[cluster.OrganisationA].ExpectServes(host)
	}
	before := c.Platform.State()

	ctx, cancel := context.WithTimeout(context.Background(), *duration)
	defer cancel()
	run := &soak{cluster: c, callers: callers, report: newReport(), hosts: append([]*cluster.Host{}, c.Hosts...)}
	faultsDone := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(faultsDone)
		newInjector(run, rand.New(rand.NewPCG(*seed, 1))).run(ctx)
	}()
	run.load(ctx, rand.New(rand.NewPCG(*seed, 2)))
	<-faultsDone
	run.recover()
	run.check()
	run.report.platform(before, c.Platform.State())

	text, err := json.MarshalIndent(run.report, "", "  ")
	Expect(err).NotTo(HaveOccurred())
	fmt.Printf("seed %d, duration %v\n%s\n", *seed, *duration, text)
	Expect(run.report.Violations).To(BeEmpty())
})

const (
	// limitedOrganisation sends several times its rate.
	limitedOrganisation = "org-limited"
	// limitedRate is in tokens per second, limitedBurst in tokens.
	limitedRate  = 100.0
	limitedBurst = 400.0
	// extraModels is the number of models that no engine starts with, so that
	// placement has to load them.
	extraModels     = 4
	extraModelBytes = 150_000
)

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

func versionName(i, version int) string { return fmt.Sprintf("model-%d-v%d", i, version) }

// objects returns the limited organisation and the extra models, each with two
// versions.
func objects() []*apiv1.Object {
	objects := []*apiv1.Object{
		{Spec: &apiv1.Object_Organisation{Organisation: &apiv1.Organisation{Name: limitedOrganisation}}},
		{Spec: &apiv1.Object_RatePolicy{RatePolicy: &apiv1.RatePolicy{Name: limitedOrganisation, Organisation: limitedOrganisation, TokensPerSecond: limitedRate, BurstTokens: limitedBurst}}},
	}
	for i := range extraModels {
		for version := 1; version <= 2; version++ {
			weights := &apiv1.Version{Name: versionName(i, version), Model: modelName(i), MemoryBytes: extraModelBytes, Weights: versionName(i, version)}
			objects = append(objects, &apiv1.Object{Spec: &apiv1.Object_ModelVersion{ModelVersion: weights}})
		}
		model := &apiv1.Model{Name: modelName(i), ServingVersion: versionName(i, 1)}
		objects = append(objects, &apiv1.Object{Spec: &apiv1.Object_Model{Model: model}})
	}
	return objects
}
