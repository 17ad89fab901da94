package evacuation

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEvacuation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Evacuation Suite")
}
