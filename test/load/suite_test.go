package load_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/testbed"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Service under load")
}

var _ = AfterSuite(testbed.RemoveBinaries)
