package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberryslip.example/bilberryslip/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

// valid returns settings that set only the required fields.
func valid() string {
	secret := filepath.Join(GinkgoT().TempDir(), "secret")
	Expect(os.WriteFile(secret, []byte(strings.Repeat("s", 32)), 0o600)).To(Succeed())
	return `{
		"host": {"name": "h1", "zone": "qce-1"},
		"listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0", "debug": "127.0.0.1:0"},
		"platform": {"addresses": ["http://127.0.0.1:9"]},
		"peers": {"secret_file": "` + secret + `"}
	}`
}

var _ = Describe("Parse", func() {
	It("accepts a file with only the required fields and fills in the defaults", func() {
		s, err := settings.Parse([]byte(valid()))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Shares).To(Equal(settings.Default().Shares))
	})

	It("reports an unknown field, a wrong type, a bad range, a missing file and a missing name together", func() {
		text := strings.Replace(valid(), `"name": "h1"`, `"nom": "h1"`, 1)
		text = strings.Replace(text, `"addresses"`, `"call_timeout": 5, "token_file": "/nonexistent/token", "addresses"`, 1)
		text = strings.Replace(text, `"peers": {"secret`, `"shares": {"floor_fraction": 2}, "peers": {"secret`, 1)
		_, err := settings.Parse([]byte(text))
		var invalid *settings.InvalidError
		Expect(err).To(BeAssignableToTypeOf(invalid))
		var paths []string
		for _, fault := range err.(*settings.InvalidError).Faults {
			paths = append(paths, fault.Path)
			Expect(fault.Remedy).NotTo(BeEmpty())
		}
		Expect(paths).To(ConsistOf("host.nom", "host.name", "platform.call_timeout", "platform.token_file", "shares.floor_fraction"))
		Expect(strings.Split(err.Error(), "\n")).To(HaveLen(5))
	})

	// Guards against a host that is to end before the balancer has noticed its shutdown and
	// the requests that still run have been answered.
	DescribeTable("checks the limit of the shutdown", func(delay, limit, want string) {
		text := strings.Replace(valid(), `"peers": {`, `"shutdown": {"balancer_delay": "`+delay+`", "limit": "`+limit+`"}, "peers": {`, 1)
		_, err := settings.Parse([]byte(text))
		if want == "" {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(want))
	},
		Entry("long enough", "5s", "9s", ""),
		Entry("too short for the delay", "5s", "8s", "shutdown.limit: 8s is out of range; write a duration from 9s (shutdown.balancer_delay and 4s for the end) to 24h0m0s"),
		Entry("too short for the end", "0s", "3s", "shutdown.limit: 3s is out of range; write a duration from 4s (shutdown.balancer_delay and 4s for the end) to 24h0m0s"),
	)

	It("reports a malformed document as one fault", func() {
		_, err := settings.Parse([]byte(`{"host": `))
		Expect(err.(*settings.InvalidError).Faults).To(HaveLen(1))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"host": {"name": 1}, "operators": [{}], "platform": {"addresses": [null]}}`))
	f.Add([]byte(`{"peers": {"static": [1, {"url": "http://[::1"}]}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse(data)
		if err == nil {
			return
		}
		if _, ok := err.(*settings.InvalidError); !ok {
			t.Fatalf("unexpected error type %T", err)
		}
	})
}
