package objectstore_test

import (
	"context"
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/platform"
	"bilberryslip.example/bilberryslip/internal/standin/objectstore"
)

func TestObjectStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "object store")
}

var _ = Describe("Store", func() {
	ctx := context.Background()

	It("refuses a conditional update of an older version", func() {
		store := objectstore.New()
		first, err := store.Create(ctx, platform.KindLease, "a", "w1", json.RawMessage(`1`))
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, platform.KindLease, "a", first.Version, "w2", json.RawMessage(`2`))
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Update(ctx, platform.KindLease, "a", first.Version, "w3", json.RawMessage(`3`))
		var conflict *platform.ConflictError
		Expect(err).To(BeAssignableToTypeOf(conflict))
	})

	It("reports to a watch what came after its version", func() {
		store := objectstore.New()
		first, err := store.Create(ctx, platform.KindLease, "a", "w1", json.RawMessage(`1`))
		Expect(err).NotTo(HaveOccurred())
		watch, err := store.Watch(ctx, platform.KindLease, first.Version)
		Expect(err).NotTo(HaveOccurred())
		defer watch.Stop()
		second, err := store.Create(ctx, platform.KindLease, "b", "w2", json.RawMessage(`2`))
		Expect(err).NotTo(HaveOccurred())
		Expect(<-watch.Events()).To(HaveField("Version", second.Version))
	})
})
