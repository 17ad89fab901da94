package cli_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/cli"
)

func TestCLI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cli")
}

// fakeAdmin implements the calls that the tests make. Apply records its requests
// and returns failure.
type fakeAdmin struct {
	apiv1.Admin
	objects []*apiv1.Object
	applied []*apiv1.ApplyRequest
	failure error
	state   string
}

func (f *fakeAdmin) State(context.Context, *apiv1.StateRequest) (*apiv1.StateResponse, error) {
	return &apiv1.StateResponse{Json: f.state}, nil
}

func (f *fakeAdmin) List(context.Context, *apiv1.ListRequest) (*apiv1.ListResponse, error) {
	return &apiv1.ListResponse{Objects: f.objects}, nil
}

func (f *fakeAdmin) Apply(_ context.Context, request *apiv1.ApplyRequest) (*apiv1.ApplyResponse, error) {
	f.applied = append(f.applied, request)
	return &apiv1.ApplyResponse{Revision: 7, Unconfirmed: []*apiv1.HostRevision{{Host: "h2", Zone: "z"}}}, f.failure
}

func (f *fakeAdmin) GrantKey(context.Context, *apiv1.GrantKeyRequest) (*apiv1.GrantKeyResponse, error) {
	return &apiv1.GrantKeyResponse{Secret: "bsk_secret"}, nil
}

const manifest = `{"objects": [{"organisation": {"name": "a", "weight": 2}}, {"organisation": {"name": "b"}}]}`

var _ = Describe("The command-line tool", func() {
	var (
		fake        *fakeAdmin
		server      *httptest.Server
		out, errOut bytes.Buffer
	)
	run := func(stdin string, args ...string) int {
		out.Reset()
		errOut.Reset()
		return cli.Run(append([]string{"--server", server.URL}, args...), strings.NewReader(stdin), &out, &errOut)
	}
	BeforeEach(func() {
		fake = &fakeAdmin{}
		server = httptest.NewServer(apiv1.NewAdminServer(fake))
		DeferCleanup(server.Close)
	})

	It("applies only the objects that differ, with the versions that they replace", func() {
		fake.objects = []*apiv1.Object{
			{Version: 3, Spec: &apiv1.Object_Organisation{Organisation: &apiv1.Organisation{Name: "a", Weight: 1}}},
			{Version: 4, Spec: &apiv1.Object_Organisation{Organisation: &apiv1.Organisation{Name: "b"}}},
		}
		Expect(run(manifest, "apply", "-f", "-")).To(Equal(0), errOut.String())
		Expect(fake.applied).To(HaveLen(1))
		Expect(fake.applied[0].ChangeId).NotTo(BeEmpty())
		Expect(fake.applied[0].Mutations).To(HaveExactElements(And(HaveField("Name", "a"), HaveField("ExpectedVersion", int64(3)))))
		Expect(out.String()).To(And(ContainSubstring("accepted as revision 7"), ContainSubstring("h2")))
	})

	// Guards against an operator who goes on with the next host while this one still stops.
	It("shows the phase of hosts that stop and what runs there", func() {
		dump := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/debug/state" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			_, _ = io.WriteString(w, `{"stop": {"phase": "draining", "elapsedMS": 2600, "remainingMS": 5200, "decisions": {"admitted": 3, "refused": 7}},
				"requests": [{"request": "r-1", "service": "llm", "endpoint": "e-1", "ageMS": 1500, "deadlineInMS": 2500}]}`)
		}))
		DeferCleanup(dump.Close)
		fake.state = `{"stop": {"phase": "serving"}, "gateway": {"running": [{"requestId": "r-2", "model": "m", "endpoint": "e-2", "ageMillis": 10}]}}`
		Expect(run("", "stop", "h1", "--dump", dump.URL+"/debug/state")).To(Equal(0), errOut.String())
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		for i, want := range []string{
			"HOST PHASE SINCE SIGNAL ENDS WITHIN RUNNING ADMITTED REFUSED", "h1 serving - - 1 0 0",
			strings.TrimPrefix(dump.URL, "http://") + " draining 2.6s 5.2s 1 3 7", "", "HOST REQUEST SERVICE ENDPOINT AGE DEADLINE IN",
			"h1 r-2 m e-2 10ms -", strings.TrimPrefix(dump.URL, "http://") + " r-1 llm e-1 1.5s 2.5s",
		} {
			Expect(strings.Join(strings.Fields(lines[i]), " ")).To(Equal(want))
		}
		for argument, want := range map[string]string{dump.URL + "/other": "404", "no address": "is no URL"} {
			Expect(run("", "stop", "--dump", argument)).NotTo(Equal(0))
			Expect(errOut.String()).To(ContainSubstring(want))
		}
		fake.state = `{"gateway": {}}`
		Expect(run("", "stop")).NotTo(Equal(0))
		Expect(errOut.String()).To(ContainSubstring("older version"))
	})

	// Guards against senseless bytes that are shown as the state of a host.
	It("takes no response with a malformed head for a state dump", func() {
		dump := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Oops: 1\r\n\r\n"+`{"stop": {"phase": "serving"}}`)
				_ = conn.Close()
			}
		}))
		DeferCleanup(dump.Close)
		Expect(run("", "stop", "--dump", dump.URL)).NotTo(Equal(0))
		Expect(errOut.String()).To(ContainSubstring("invalid field name"))
	})

	DescribeTable("maps failures to exit codes", func(failure error, code int, text string) {
		fake.failure = failure
		Expect(run(manifest, "apply", "-f", "-")).To(Equal(code))
		Expect(errOut.String()).To(ContainSubstring(text))
	},
		Entry("conflict", twirp.Aborted.Error("changed meanwhile").WithMeta("current_version", "9"), 4, "current version 9"),
		Entry("unavailable", twirp.Unavailable.Error("no platform"), 5, "no platform"),
		Entry("unknown outcome", twirp.Unknown.Error("ask again"), 5, "ask again"),
		Entry("denied", twirp.Unauthenticated.Error("no token"), 6, "no token"),
		Entry("invalid", twirp.InvalidArgument.Error("rate_policy.burst"), 7, "rate_policy.burst"),
	)

	DescribeTable("rejects wrong usage and unreadable manifests", func(stdin string, args ...string) {
		Expect(run(stdin, args...)).To(Equal(2))
		Expect(errOut.String()).NotTo(BeEmpty())
	},
		Entry("no subcommand", ""),
		Entry("unknown kind", "", "list", "modles"),
		Entry("unknown output", "", "-o", "yaml", "status"),
		Entry("broken JSON", "{", "apply", "-f", "-"),
		Entry("unknown field", `{"objects": [{"organisation": {"nom": "a"}}]}`, "apply", "-f", "-"),
		Entry("no name", `{"objects": [{"organisation": {}}]}`, "apply", "-f", "-"),
		Entry("missing file", "", "apply", "-f", "/nonexistent/manifest.json"),
	)

	It("prints only the secret of a granted key on standard output", func() {
		Expect(run("", "key", "grant", "k", "--organisation", "a")).To(Equal(0))
		Expect(out.String()).To(Equal("bsk_secret\n"))
	})

	It("tries the next host if one does not respond", func() {
		stopped := httptest.NewServer(nil)
		stopped.Close()
		Expect(cli.Run([]string{"--server", stopped.URL, "--server", server.URL, "list"}, strings.NewReader(""), &out, &errOut)).To(Equal(0))
	})
})
