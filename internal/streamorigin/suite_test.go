package streamorigin

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStreamOrigin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Origins of streams")
}
