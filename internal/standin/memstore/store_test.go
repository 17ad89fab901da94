package memstore_test

import (
	"context"
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

func TestObjectStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "object store")
}

var _ = Describe("Store", func() {
	ctx := context.Background()

	It("refuses a conditional update of an older version", func() {
		store := memstore.New()
		first, err := store.Create(ctx, objectstore.KindLease, "a", "w1", json.RawMessage(`1`))
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, objectstore.KindLease, "a", first.Version, "w2", json.RawMessage(`2`))
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, objectstore.KindLease, "a", first.Version, "w3", json.RawMessage(`3`))
		var conflict *objectstore.ConflictError
		Expect(err).To(BeAssignableToTypeOf(conflict))
	})

	It("delivers the events after the start version to a watch", func() {
		store := memstore.New()
		first, err := store.Create(ctx, objectstore.KindLease, "a", "w1", json.RawMessage(`1`))
		Expect(err).NotTo(HaveOccurred())
		watch, err := store.Watch(ctx, objectstore.KindLease, first.Version)
		Expect(err).NotTo(HaveOccurred())
		defer watch.Stop()
		second, err := store.Create(ctx, objectstore.KindLease, "b", "w2", json.RawMessage(`2`))
		Expect(err).NotTo(HaveOccurred())
		Expect(<-watch.Events()).To(HaveField("Version", second.Version))
	})
})
