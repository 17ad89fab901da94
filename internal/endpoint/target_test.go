package endpoint

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/engineapi"
)

var _ = Describe("A call's target", func() {
	// Guards against escapes that are added or removed, and a question mark that is lost.
	It("reaches the endpoint byte for byte", func() {
		var got string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got = r.RequestURI
			w.Header().Set(engineapi.HeaderAttempt, r.Header.Get(engineapi.HeaderAttempt))
		}))
		DeferCleanup(server.Close)
		for _, base := range []string{"", "/base"} {
			c := newClient("e", server.URL+base, time.Second)
			DeferCleanup(c.close)
			for _, target := range []string{"/a", "/a|b\"<>{}", "/%61%2D", "/a;b", "/\xff", "/a?", "/a??", "/a?b?c|d", "/a:b@c"} {
				path, query, found := strings.Cut(target, "?")
				call := Call{AttemptID: "1", Method: http.MethodGet, Path: path, RawQuery: query, EmptyQuery: found && query == ""}
				response, err := c.Send(context.Background(), call)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Body.Close()).To(Succeed())
				Expect(got).To(Equal(base + target))
			}
		}
	})
})
