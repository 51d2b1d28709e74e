package filter_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/filter"
)

// Guards against a configuration without callers, or the lack of any configuration, that lets requests pass without a known key.
func TestWithoutCallersNoRequestPasses(t *testing.T) {
	const fleet = "[fleet]\nname = 'f'\n[[priority]]\nname = 'p'\ntarget = '1s'\n[[pool]]\nname = 'desk'\nkind = 'service'\n" +
		"[[route]]\npath = '/'\npool = 'desk'\npriority = 'p'\n"
	for text, want := range map[string]int{"": http.StatusServiceUnavailable, fleet: http.StatusUnauthorized,
		"caller = []\n" + fleet: http.StatusUnauthorized} {
		g, holder := NewWithT(t), config.NewHolder()
		if text != "" {
			parsed, err := config.Parse(text)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(holder.Apply(&config.Active{Envelope: config.Envelope{Revision: 1}, Config: parsed})).To(Succeed())
		}
		for _, credentials := range []string{"", "Bearer", "Bearer ", "Bearer k", "bearer  k", "Basic k"} {
			x := &filter.Exchange{Request: httptest.NewRequest(http.MethodGet, "/", strings.NewReader(""))}
			x.Request.Header.Set("Authorization", credentials)
			err := filter.Authentication{Holder: holder}.Apply(context.Background(), x, func(context.Context, *filter.Exchange) error { return nil })
			var failure *filter.Failure
			g.Expect(errors.As(err, &failure)).To(BeTrue(), "%q passes with %q", credentials, text)
			g.Expect(failure.Status).To(Equal(want), credentials)
		}
	}
}
