package ctl

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/admin"
)

// Guards against a status table that shows an agent of another data centre, whose load is unknown, as idle and without progress.
func TestUnknownLoadIsNotShownAsZero(t *testing.T) {
	g := NewWithT(t)
	progress, load, queued := loadColumns(admin.NodeStatus{Model: "hemline"})
	g.Expect([]string{progress, load, queued}).To(Equal([]string{"-", "-", "-"}))
	progress, load, queued = loadColumns(admin.NodeStatus{Model: "hemline", Progress: 0.5, Limit: 8, InFlight: 2, Queued: 1})
	g.Expect([]string{progress, load, queued}).To(Equal([]string{"50%", "2/8", "1"}))
}
