package quarantine

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Hash of a request", func() {
	It("differs if the organisation or any part of the request does", func() {
		key := RequestKey{Organisation: "org", Method: "POST", Host: "api.example", Target: "/read/x?a=1", Body: []byte("body")}
		hashes := map[uint64]bool{key.Hash(): true}
		for _, change := range []func(*RequestKey){
			func(k *RequestKey) { k.Organisation = "other" },
			func(k *RequestKey) { k.Method = "GET" },
			func(k *RequestKey) { k.Host = "api2.example" },
			func(k *RequestKey) { k.Target = "/read/x?a=2" },
			func(k *RequestKey) { k.Body = []byte("bodies") },
			func(k *RequestKey) { k.Body = nil },
			func(k *RequestKey) { k.Organisation, k.Method = "orgP", "OST" },
		} {
			changed := key
			change(&changed)
			hashes[changed.Hash()] = true
		}
		Expect(hashes).To(HaveLen(8))
		Expect(hashes).To(HaveKey(key.Hash()))
	})
})

func BenchmarkRequestHash(b *testing.B) {
	for name, size := range map[string]int{"1KiB": 1 << 10, "1MiB": 1 << 20} {
		b.Run(name, func(b *testing.B) {
			key := RequestKey{Organisation: "org", Method: "POST", Host: "api.example", Target: "/read/x", Body: make([]byte, size)}
			b.SetBytes(int64(size))
			for b.Loop() {
				key.Hash()
			}
		})
	}
}
