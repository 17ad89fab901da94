package config

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

// deployment is the number of objects of each kind in a configuration.
type deployment struct {
	name                                     string
	organisations, models, adapters, engines int
}

var deployments = []deployment{
	{"today", 5, 17, 56, 9},
	{"target", 100, 1700, 4000, 840},
}

func (d deployment) snapshot() *Snapshot {
	var objects []*apiv1.Object
	add := func(obj *apiv1.Object) {
		obj.Version = 1
		objects = append(objects, obj)
	}
	for i := range d.organisations {
		org := fmt.Sprintf("org-%d", i)
		add(&apiv1.Object{Spec: &apiv1.Object_Organisation{Organisation: &apiv1.Organisation{Name: org}}})
		add(&apiv1.Object{Spec: &apiv1.Object_Key{Key: &apiv1.Key{Name: org, Organisation: org, SecretSha256: fmt.Sprintf("%064x", i)}}})
		add(&apiv1.Object{Spec: &apiv1.Object_RatePolicy{RatePolicy: &apiv1.RatePolicy{Name: org, Organisation: org, TokensPerSecond: 1000, BurstTokens: 1000}}})
	}
	for i := range d.models {
		model, version := fmt.Sprintf("model-%d", i), fmt.Sprintf("version-%d", i)
		add(&apiv1.Object{Spec: &apiv1.Object_Model{Model: &apiv1.Model{Name: model, ServingVersion: version}}})
		add(&apiv1.Object{Spec: &apiv1.Object_ModelVersion{ModelVersion: &apiv1.Version{Name: version, Model: model, MemoryBytes: 8 << 30, Weights: version}}})
	}
	for i := range d.adapters {
		add(&apiv1.Object{Spec: &apiv1.Object_Adapter{Adapter: &apiv1.Adapter{Name: fmt.Sprintf("adapter-%d", i), Model: fmt.Sprintf("model-%d", i%d.models), MemoryBytes: 1 << 20}}})
	}
	for i := range d.engines {
		add(&apiv1.Object{Spec: &apiv1.Object_Endpoint{Endpoint: &apiv1.Endpoint{
			Name: fmt.Sprintf("engine-%d", i), Zone: "zone", Kind: apiv1.EndpointKind_ENDPOINT_KIND_ENGINE,
			Url: fmt.Sprintf("http://10.0.%d.%d:9000", i/256, i%256), MemoryBytes: 80 << 30, AdapterMemoryBytes: 4 << 30, Pool: "pool",
		}}})
	}
	return NewSnapshot(1, objects)
}

// BenchmarkValidate measures validating one change, which happens on the host
// that accepts it.
func BenchmarkValidate(b *testing.B) {
	for _, d := range deployments {
		b.Run(d.name, func(b *testing.B) {
			snapshot := d.snapshot()
			mutations := []*apiv1.Mutation{putOrganisation("org-0", 1, 2)}
			for b.Loop() {
				if _, err := Validate(snapshot, mutations); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkFollow measures applying one change to the snapshot, which happens on
// every host.
func BenchmarkFollow(b *testing.B) {
	for _, d := range deployments {
		b.Run(d.name, func(b *testing.B) {
			snapshot := d.snapshot()
			change := &apiv1.Change{Revision: 2, Mutations: []*apiv1.Mutation{putOrganisation("org-0", 1, 2)}}
			b.ReportAllocs()
			for b.Loop() {
				snapshot.after([]*apiv1.Change{change})
			}
		})
	}
}

// BenchmarkMemory measures the heap that a host's replica takes: the snapshot and
// a full history.
func BenchmarkMemory(b *testing.B) {
	for _, d := range deployments {
		b.Run(d.name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				r := newReplica(defaultKeepChanges)
				r.installSnapshot(d.snapshot())
				r.addChanges(time.Time{}, fullHistory()...)
				b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
				runtime.KeepAlive(r)
			}
		})
	}
}

// fullHistory returns maxHistory changes of one object.
func fullHistory() []*apiv1.Change {
	changes := make([]*apiv1.Change, maxHistory)
	for i := range changes {
		changes[i] = &apiv1.Change{
			Revision: int64(i + 2), ChangeId: uuid.NewString(), Author: "operator",
			Mutations: []*apiv1.Mutation{putOrganisation("org-0", int64(i+1), float64(i))},
		}
	}
	return changes
}

// heapBytes returns the bytes of reachable heap objects.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkApply reports the platform reads and writes per change.
func BenchmarkApply(b *testing.B) {
	logrus.SetLevel(logrus.ErrorLevel)
	defer logrus.SetLevel(logrus.InfoLevel)
	store := storetest.New(memstore.New())
	log := NewLog(LogConfig{Store: store})
	version := int64(0)
	for b.Loop() {
		revision, err := log.Apply(context.Background(), []*apiv1.Mutation{putOrganisation("org", version, 1)}, uuid.NewString(), "operator")
		if err != nil {
			b.Fatal(err)
		}
		version = revision
	}
	b.ReportMetric(float64(store.Writes())/float64(b.N), "writes/op")
	b.ReportMetric(float64(store.Count(storetest.OpGet)+store.Count(storetest.OpList))/float64(b.N), "reads/op")
}
