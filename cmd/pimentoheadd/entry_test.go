package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/platform/instancelist"
)

// Guards against a live instance that is reported as leaving, and against a failed read that is returned as an empty set.
func TestLeavingInstances(t *testing.T) {
	g := NewWithT(t)
	available := true
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !available {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, `{"instances":[{"id":"agent-1","state":"live"},{"id":"agent-2","state":"leaving"}]}`)
	}))
	defer server.Close()
	leaving := leavingInstances(instancelist.NewClient(server.URL))
	g.Expect(leaving(context.Background())).To(Equal(map[string]bool{"agent-2": true}))
	available = false
	_, err := leaving(context.Background())
	g.Expect(err).To(HaveOccurred())
}
