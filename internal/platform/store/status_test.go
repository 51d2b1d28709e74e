package store

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"
)

// Guards against a status that no server sends which counts as a rejection: a write that it answers may have taken effect.
func TestStatusBelow100AndFrom600IsNoRejection(t *testing.T) {
	g := NewWithT(t)
	for _, status := range []int{0, 1, 99, http.StatusInternalServerError, 600, 999} {
		g.Expect(errors.Is(statusError(writeCall, "/p", status, nil), ErrAmbiguous)).To(BeTrue(), "%d", status)
		g.Expect(errors.Is(statusError(readCall, "/p", status, nil), ErrUnavailable)).To(BeTrue(), "%d", status)
	}
	g.Expect(errors.Is(statusError(writeCall, "/p", http.StatusBadRequest, nil), ErrRejected)).To(BeTrue())
}
