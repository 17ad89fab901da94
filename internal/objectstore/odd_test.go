package objectstore_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/objectstore"
)

var _ = Describe("A response with one odd entry", func() {
	deep := strings.Repeat("[", 11_000) + strings.Repeat("]", 11_000)

	// Guards against an entry of another writer that costs all others of its response.
	DescribeTable("costs that entry alone", func(value string, kept int) {
		const sound = `{"kind":"claims","name":"sound","version":1,"writeId":"w","value":{"a":1}}`
		odd := fmt.Sprintf(`{"kind":"claims","name":"odd","version":2,"writeId":"w","value":%s}`, value)
		if !strings.HasPrefix(value, "[") {
			odd = value
		}
		store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.URL.RawQuery, "prefix") {
				fmt.Fprintf(w, `{"version":3,"items":[%s,%s]}`, odd, sound)
				return
			}
			fmt.Fprint(w, odd)
		}))
		defer store.Close()
		client := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{store.URL}})
		listing, err := client.List(context.Background(), objectstore.KindClaim, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(listing.Version).To(BeEquivalentTo(3))
		Expect(listing.Items).To(HaveLen(kept))
		Expect(listing.Items[kept-1].Name).To(Equal("sound"))
		object, err := client.Get(context.Background(), objectstore.KindClaim, "odd")
		if kept == 2 {
			Expect(err).NotTo(HaveOccurred())
			Expect(string(object.Value)).To(Equal(value))
			return
		}
		Expect(err).To(HaveOccurred())
	},
		Entry("deeply nested", deep, 2),
		Entry("a version too large", `{"kind":"claims","name":"odd","version":1e400,"value":{}}`, 1),
		Entry("a name of the wrong type", `{"kind":"claims","name":[],"version":2,"value":{}}`, 1),
		Entry("no object", `5`, 1),
	)

	// Guards against a host list that is lost, or a host that loses its shares as unlisted, for
	// one odd entry.
	DescribeTable("keeps the other hosts, and the name of the odd one", func(entry string, names ...string) {
		store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"hosts":[%s,{"name":"sound","zone":"z","peerUrl":"http://127.0.0.1:9"}]}`, entry)
		}))
		defer store.Close()
		hosts, err := objectstore.NewClient(objectstore.ClientConfig{Addresses: []string{store.URL}}).Hosts(context.Background())
		Expect(err).NotTo(HaveOccurred())
		var got []string
		for _, host := range hosts {
			got = append(got, host.Name)
		}
		Expect(got).To(Equal(append(names, "sound")))
	},
		Entry("a zone of the wrong type", `{"name":"odd","zone":5}`, "odd"),
		Entry("deeply nested", `{"name":"odd","state":`+deep+`}`, "odd"),
		Entry("a name of the wrong type", `{"name":5}`),
		Entry("no object", `5`),
	)
})
