package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/placement"
)

// Guards against flags that do not reach the entry, and against a table that hides why an upstream gets no request. The reason is one that this
// tool does not know.
func TestExplainPlacement(t *testing.T) {
	g := NewWithT(t)
	answer := placement.Explanation{Entry: "e1", ConfigVersion: 7, Route: "answers", Kind: "stream", Services: []placement.ServiceExplanation{
		{Service: "hemline", Weight: 1, Selected: "u1", Upstreams: []placement.UpstreamExplanation{
			{ID: "u1", DataCentre: "z", State: "ready", Selected: true, PredictedMS: 164, LoadKnown: true, Running: 3, Waiting: 1},
			{ID: "u2", DataCentre: "y", State: "ready", LeftOut: "new-reason", WaitMS: 300}}}}}
	var asked *url.URL
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	args := []string{"explain-placement", "-entry", server.URL + "/", "-host", "h", "-path", "/a", "-customer", "c", "-model", "m",
		"-prompt-tokens", "900", "-prompt-parts", "a,b"}
	var out, failures bytes.Buffer
	env := Environment{Stdout: &out, Stderr: &failures, Getenv: func(string) string { return "" }}
	g.Expect(Run(t.Context(), args, env)).To(Equal(ExitOK), failures.String())
	g.Expect(asked.Path).To(Equal(placement.ExplanationPath))
	g.Expect(asked.Query()).To(Equal(url.Values{"host": {"h"}, "path": {"/a"}, "method": {"POST"}, "customer": {"c"}, "model": {"m"},
		"prompt_tokens": {"900"}, "prompt_part": {"a", "b"}}))
	g.Expect(out.String()).To(MatchRegexp(`(?m)^u1 +z +ready +selected +164 ms +3 +1$`))
	g.Expect(out.String()).To(MatchRegexp(`(?m)^u2 +y +ready +left out: new-reason, 300 ms +- +- +-$`))

	out.Reset()
	g.Expect(Run(t.Context(), append(args, "-o", "json"), env)).To(Equal(ExitOK))
	var decoded placement.Explanation
	g.Expect(json.Unmarshal(out.Bytes(), &decoded)).To(Succeed())
	g.Expect(decoded).To(Equal(answer))

	g.Expect(Run(t.Context(), []string{"explain-placement", "-host", "h"}, env)).To(Equal(ExitUsage))
	server.Close()
	g.Expect(Run(t.Context(), args, env)).To(Equal(ExitFailed))
}
