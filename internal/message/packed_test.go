package message_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/catalog"
	"github.com/pimentohead/pimentohead/internal/message"
)

// configWithRoutes returns a configuration with the given number of routes.
func configWithRoutes(routes int) *catalog.Config {
	c := &catalog.Config{Version: 7, Services: []catalog.Service{{Name: "s"}}, Customers: []catalog.Customer{{Name: "t"}}}
	for i := range routes {
		c.Routes = append(c.Routes, catalog.Route{Name: fmt.Sprintf("route-%d", i), Host: "a.example", Prefix: fmt.Sprintf("/x/%d/", i),
			Timeout: 6 * time.Second})
	}
	return c
}

// Guards against a configuration so large that it saturates the links between nodes, and against fields lost in encoding.
func TestPackedConfigIsSmallAndComplete(t *testing.T) {
	g := NewWithT(t)
	c := configWithRoutes(1330)
	packed, err := message.PackConfig(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(packed)).To(BeNumerically("<", 60<<10))
	unpacked, err := message.UnpackConfig(packed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(unpacked).To(Equal(c))
	for _, malformed := range [][]byte{nil, packed[:len(packed)/2], []byte("no flate stream")} {
		_, err := message.UnpackConfig(malformed)
		g.Expect(errors.Is(err, message.ErrMalformed)).To(BeTrue(), "%d bytes", len(malformed))
	}
}

// Guards against a few bytes from another node that decompress to gigabytes.
func TestPackedConfigIsBounded(t *testing.T) {
	g := NewWithT(t)
	c := configWithRoutes(1)
	c.Routes[0].Name = string(make([]byte, 20<<20))
	packed, err := message.PackConfig(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(packed)).To(BeNumerically("<", 1<<20))
	_, err = message.UnpackConfig(packed)
	g.Expect(errors.Is(err, message.ErrMalformed)).To(BeTrue())
}

// Guards against a panic on arbitrary input, and against a result with both or neither of a configuration and an error.
func FuzzUnpackConfig(f *testing.F) {
	packed, err := message.PackConfig(configWithRoutes(3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := message.UnpackConfig(data); (c == nil) == (err == nil) {
			t.Fatalf("configuration %v with error %v", c, err)
		}
	})
}
