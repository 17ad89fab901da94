package admin_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"

	apiv1 "bilberryslip.example/bilberryslip/api/v1"
	"bilberryslip.example/bilberryslip/internal/admin"
	"bilberryslip.example/bilberryslip/internal/config"
	"bilberryslip.example/bilberryslip/internal/objectstore"
	"bilberryslip.example/bilberryslip/internal/objectstore/storetest"
	"bilberryslip.example/bilberryslip/internal/standin/memstore"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admin")
}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// fakeHost stands for three hosts: a, this host, whose revision is that of the
// log; b, whose revision the test sets; and c, which is dead.
type fakeHost struct {
	log       *config.Log
	revision  int64
	drained   []string
	forgotten []string
}

func (f *fakeHost) Hosts() []admin.Host {
	return []admin.Host{
		{Name: "a", Zone: "z1", Revision: f.log.Current().Revision(), Alive: true},
		{Name: "b", Zone: "z2", Revision: f.revision, Alive: true},
		{Name: "c", Zone: "z3", Age: time.Hour},
	}
}

type fakePeers struct{ *fakeHost }

func (f fakePeers) Drain(_ context.Context, host, operator string) error {
	f.drained = append(f.drained, host+" by "+operator)
	return nil
}

func (f fakePeers) State(_ context.Context, host string) (string, error) {
	if host == "c" {
		return "", errors.New("no response")
	}
	return `"` + host + `"`, nil
}

func (f fakePeers) Decisions(context.Context, *apiv1.DecisionsRequest) ([]*apiv1.Decision, []string) {
	return []*apiv1.Decision{{Id: "1", UnixMillis: 1}, {Id: "3", UnixMillis: 3}}, []string{"c"}
}

type fakeSelf struct{ *fakeHost }

func (f fakeSelf) Drain(operator string)  { f.drained = append(f.drained, "self by "+operator) }
func (f fakeSelf) State() (string, error) { return `"self"`, nil }

type fakeDecisions struct{}

func (fakeDecisions) Query(context.Context, *apiv1.DecisionsRequest) ([]*apiv1.Decision, error) {
	return []*apiv1.Decision{{Id: "1", UnixMillis: 1}, {Id: "2", UnixMillis: 2}}, nil
}

func (f *fakeHost) ForgetHost(_ context.Context, host, _ string) error {
	f.forgotten = append(f.forgotten, host)
	return nil
}

// bearer is an HTTP client that sends one Authorization header per token.
type bearer []string

func (b bearer) Do(req *http.Request) (*http.Response, error) {
	for _, token := range b {
		req.Header.Add("Authorization", "Bearer "+token)
	}
	return http.DefaultClient.Do(req)
}

func organisation(name string, version int64, weight float64) *apiv1.Mutation {
	spec := &apiv1.Object_Organisation{Organisation: &apiv1.Organisation{Name: name, Weight: weight}}
	return &apiv1.Mutation{
		Kind: apiv1.Kind_KIND_ORGANISATION, Name: name, ExpectedVersion: version,
		Object: &apiv1.Object{Spec: spec},
	}
}

var _ = Describe("Server", func() {
	ctx := context.Background()
	var store *storetest.Store
	var host *fakeHost
	var client apiv1.Admin
	var url string

	BeforeEach(func() {
		store = storetest.New(memstore.New())
		log := config.NewLog(config.LogConfig{Store: store})
		Expect(log.Sync(ctx)).To(Succeed())
		host = &fakeHost{log: log, revision: 100}
		server := admin.NewServer(admin.Config{
			Host: "a", Log: log, Membership: host, Peers: fakePeers{host}, Decisions: fakeDecisions{},
			Self: fakeSelf{host}, Forgetter: host,
			Availability: func() objectstore.Availability { return objectstore.Availability{Available: true} },
		})
		operators := []admin.Operator{{Name: "eve", TokenSHA256: hashOf("secret")}}
		web := httptest.NewServer(admin.RequireOperator(operators, apiv1.NewAdminServer(server)))
		DeferCleanup(web.Close)
		url = web.URL
		client = apiv1.NewAdminProtobufClient(url, bearer{"secret"})
	})

	apply := func(mutations ...*apiv1.Mutation) (*apiv1.ApplyResponse, error) {
		return client.Apply(ctx, &apiv1.ApplyRequest{Mutations: mutations})
	}

	meta := func(err error, code twirp.ErrorCode, key string) string {
		GinkgoHelper()
		var twerr twirp.Error
		Expect(errors.As(err, &twerr)).To(BeTrue(), "%v", err)
		Expect(twerr.Code()).To(Equal(code), "%v", err)
		return twerr.Meta(key)
	}

	It("applies a change, reports which hosts confirmed it, and records the author", func() {
		resp, err := apply(organisation("x", 0, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Revision).To(Equal(int64(1)))
		Expect(resp.Confirmed).To(HaveLen(2))
		Expect(resp.Unconfirmed).To(ConsistOf(HaveField("Host", "c")))
		Expect(host.log.ChangesAfter(0, 1).Changes[0].Author).To(Equal("eve"))
		host.revision = 1
		started := time.Now()
		resp, err = client.Apply(ctx, &apiv1.ApplyRequest{Mutations: []*apiv1.Mutation{organisation("x", 1, 2)}, WaitMillis: 100})
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(started)).To(BeNumerically(">=", 100*time.Millisecond))
		Expect(resp.Unconfirmed).To(ConsistOf(HaveField("Host", "b"), HaveField("Host", "c")))
		Expect(client.Get(ctx, &apiv1.GetRequest{Kind: apiv1.Kind_KIND_ORGANISATION, Name: "x"})).
			To(HaveField("Object.Version", int64(2)))
		Expect(client.List(ctx, &apiv1.ListRequest{})).To(HaveField("Objects", HaveLen(1)))
		Expect(client.Status(ctx, &apiv1.StatusRequest{})).To(And(HaveField("Revision", int64(2)), HaveField("Hosts", HaveLen(3))))
	})

	It("returns typed errors with metadata", func() {
		_, err := apply(organisation("x", 0, 1))
		Expect(err).NotTo(HaveOccurred())
		_, err = apply(organisation("x", 0, 1))
		Expect(meta(err, twirp.Aborted, admin.MetaCurrentVersion)).To(Equal("1"))
		_, err = apply(organisation("X", 0, 1), organisation("y", 0, -1))
		var faults []admin.FaultMeta
		Expect(json.Unmarshal([]byte(meta(err, twirp.InvalidArgument, admin.MetaFaults)), &faults)).To(Succeed())
		Expect(faults).To(ConsistOf(HaveField("Field", "mutations[0].name")))
		_, err = client.Get(ctx, &apiv1.GetRequest{Kind: apiv1.Kind_KIND_KEY, Name: "x"})
		Expect(meta(err, twirp.NotFound, admin.MetaKind)).To(Equal("key"))
		store.SetFault(func(storetest.Op, objectstore.Kind, string) storetest.Fault { return storetest.NotSent })
		_, err = apply(organisation("z", 0, 1))
		Expect(meta(err, twirp.Unavailable, admin.MetaRetryAfter)).To(Equal("2"))
		store.SetFault(func(storetest.Op, objectstore.Kind, string) storetest.Fault { return storetest.RequestLost })
		_, err = client.Apply(ctx, &apiv1.ApplyRequest{Mutations: []*apiv1.Mutation{organisation("z", 0, 1)}, ChangeId: "id"})
		Expect(meta(err, twirp.Unknown, admin.MetaChangeID)).To(Equal("id"))
	})

	It("returns the difference in a dry run and writes nothing", func() {
		_, err := apply(organisation("x", 0, 1), organisation("y", 0, 1))
		Expect(err).NotTo(HaveOccurred())
		writes := store.Writes()
		remove := &apiv1.Mutation{Kind: apiv1.Kind_KIND_ORGANISATION, Name: "y", ExpectedVersion: 1, Delete: true}
		resp, err := client.Apply(ctx, &apiv1.ApplyRequest{
			Mutations: []*apiv1.Mutation{organisation("x", 1, 2), remove, organisation("z", 0, 1)}, DryRun: true,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Difference).To(Equal([]string{
			"update organisation/x; weight: 1 -> 2", "delete organisation/y", "create organisation/z",
		}))
		Expect(store.Writes()).To(Equal(writes))
	})

	It("stores only the hash of a granted secret, and never reinstates a withdrawn key", func() {
		_, err := apply(organisation("x", 0, 1))
		Expect(err).NotTo(HaveOccurred())
		granted, err := client.GrantKey(ctx, &apiv1.GrantKeyRequest{Name: "k", Organisation: "x"})
		Expect(err).NotTo(HaveOccurred())
		Expect(granted.Secret).To(MatchRegexp(`^bsk_[A-Za-z0-9_-]{43}$`))
		Expect(host.log.Current().KeyByHash(hashOf(granted.Secret)).GetName()).To(Equal("k"))
		listing, err := store.List(ctx, objectstore.KindConfigChange, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Marshal(listing)).NotTo(ContainSubstring(granted.Secret[4:]))
		for range 2 {
			withdrawn, err := client.WithdrawKey(ctx, &apiv1.WithdrawKeyRequest{Name: "k"})
			Expect(err).NotTo(HaveOccurred())
			Expect(withdrawn.Revision).To(Equal(int64(3)))
		}
		Expect(host.log.Current().KeyByHash(hashOf(granted.Secret)).GetWithdrawn()).To(BeTrue())
		key := host.log.Current().Object(apiv1.Kind_KIND_KEY, "k")
		again := &apiv1.Key{Name: "k", Organisation: "x", SecretSha256: key.GetKey().SecretSha256}
		_, err = apply(&apiv1.Mutation{
			Kind: apiv1.Kind_KIND_KEY, Name: "k", ExpectedVersion: key.Version,
			Object: &apiv1.Object{Spec: &apiv1.Object_Key{Key: again}},
		})
		Expect(meta(err, twirp.InvalidArgument, admin.MetaFaults)).To(ContainSubstring("withdrawn"))
		_, err = client.WithdrawKey(ctx, &apiv1.WithdrawKeyRequest{Name: "none"})
		Expect(meta(err, twirp.NotFound, admin.MetaName)).To(Equal("none"))
	})

	It("drains, forgets and queries hosts", func() {
		for _, name := range []string{"a", "b"} {
			_, err := client.DrainHost(ctx, &apiv1.DrainHostRequest{Name: name})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(host.drained).To(Equal([]string{"self by eve", "b by eve"}))
		_, err := client.ForgetHost(ctx, &apiv1.ForgetHostRequest{Name: "b"})
		meta(err, twirp.FailedPrecondition, "")
		_, err = client.ForgetHost(ctx, &apiv1.ForgetHostRequest{Name: "c"})
		Expect(err).NotTo(HaveOccurred())
		Expect(host.forgotten).To(Equal([]string{"c"}))
		Expect(client.State(ctx, &apiv1.StateRequest{})).To(HaveField("Json", `"self"`))
		Expect(client.State(ctx, &apiv1.StateRequest{Host: "b"})).To(HaveField("Json", `"b"`))
		_, err = client.State(ctx, &apiv1.StateRequest{Host: "c"})
		Expect(meta(err, twirp.Unavailable, admin.MetaName)).To(Equal("c"))
		resp, err := client.Decisions(ctx, &apiv1.DecisionsRequest{Limit: 2})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Decisions).To(HaveExactElements(HaveField("Id", "3"), HaveField("Id", "2")))
		Expect(resp.MissingHosts).To(Equal([]string{"c"}))
	})

	It("drains an endpoint and resumes it", func() {
		e := &apiv1.Endpoint{Name: "e", Zone: "z1", Kind: apiv1.EndpointKind_ENDPOINT_KIND_SERVICE, Url: "http://127.0.0.1:9", Service: "s"}
		_, err := apply(&apiv1.Mutation{Kind: apiv1.Kind_KIND_ENDPOINT, Name: "e", Object: &apiv1.Object{Spec: &apiv1.Object_Endpoint{Endpoint: e}}})
		Expect(err).NotTo(HaveOccurred())
		for _, resume := range []bool{false, true} {
			_, err := client.DrainEndpoint(ctx, &apiv1.DrainEndpointRequest{Name: "e", Resume: resume})
			Expect(err).NotTo(HaveOccurred())
			Expect(host.log.Current().Endpoint("e").Draining).To(Equal(!resume))
		}
	})

	DescribeTable("rejects requests without an operator's token",
		func(tokens ...string) {
			_, err := apiv1.NewAdminJSONClient(url, bearer(tokens)).Status(ctx, &apiv1.StatusRequest{})
			meta(err, twirp.Unauthenticated, "")
		},
		Entry("no token"), Entry("empty", ""), Entry("wrong", "secreT"), Entry("the hash", hashOf("secret")),
		Entry("two headers", "secret", "secret"),
	)

	It("returns unavailable until a configuration is loaded", func() {
		fresh := admin.NewServer(admin.Config{Log: config.NewLog(config.LogConfig{Store: store})})
		_, err := fresh.List(ctx, &apiv1.ListRequest{})
		meta(err, twirp.Unavailable, "")
	})
})
