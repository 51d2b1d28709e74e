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

// Guards against live instances that are taken for leaving, and against a failed read that clears the set.
func TestLeavingInstances(t *testing.T) {
	g := NewWithT(t)
	up := true
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !up {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, `{"instances":[{"id":"agent-1","state":"live"},{"id":"agent-2","state":"leaving"}]}`)
	}))
	defer server.Close()
	list := leavingInstances(instancelist.NewClient(server.URL))
	g.Expect(list(context.Background())).To(Equal(map[string]bool{"agent-2": true}))
	up = false
	_, err := list(context.Background())
	g.Expect(err).To(HaveOccurred())
}
