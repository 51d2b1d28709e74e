package admin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/config"
)

const token = "correct horse"

// fakeConfiguration records submissions. Submit and History return err.
type fakeConfiguration struct {
	active      *config.Active
	submissions []config.Submission
	err         error
}

func (f *fakeConfiguration) Current() *config.Active { return f.active }

func (f *fakeConfiguration) History(_ context.Context, revision uint64) (config.Envelope, error) {
	return config.Envelope{Revision: revision}, f.err
}

func (f *fakeConfiguration) Submit(_ context.Context, s config.Submission) (config.Envelope, error) {
	f.submissions = append(f.submissions, s)
	return config.Envelope{Revision: 8, Digest: s.Digest, Author: s.Author}, f.err
}

func (f *fakeConfiguration) Status() admin.Status { return admin.Status{Node: "entry-1"} }

func newHandler(f *fakeConfiguration, ready error) http.Handler {
	return admin.NewHandler(admin.Config{
		Tokens: map[string]string{"ada": config.Digest(token), "bob": "zz"}, Configuration: f, Status: f,
		Ready: func() error { return ready }, Metrics: http.NotFoundHandler(), Log: logr.Discard(),
	})
}

func sendRequest(h http.Handler, method, path, bearer, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if bearer != "" {
		r.Header.Set("Authorization", "Bearer "+bearer)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against operator paths that accept requests without a valid token, and against health checks that require one.
func TestOnlyOperatorPathsRequireToken(t *testing.T) {
	g := NewWithT(t)
	f := &fakeConfiguration{}
	h := newHandler(f, errors.New("no configuration"))
	for _, path := range []string{"GET /v1/config", "GET /v1/config/history/3", "POST /v1/config", "GET /v1/status"} {
		method, url, _ := strings.Cut(path, " ")
		for _, wrong := range []string{"", "wrong", config.Digest(token), "zz"} {
			g.Expect(sendRequest(h, method, url, wrong, "{}").Code).To(Equal(http.StatusUnauthorized), path)
		}
	}
	g.Expect(f.submissions).To(BeEmpty())
	g.Expect(sendRequest(h, "GET", "/v1/status", token, "").Body.String()).To(ContainSubstring(`"node":"entry-1"`))
	g.Expect(sendRequest(h, "GET", "/healthz", "", "").Code).To(Equal(http.StatusOK))
	ready := sendRequest(h, "GET", "/readyz", "", "")
	g.Expect(ready.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(ready.Body.String()).To(Equal("no configuration\n"))
	g.Expect(sendRequest(newHandler(f, nil), "GET", "/readyz", "", "").Code).To(Equal(http.StatusOK))
}

// Guards against accepting bodies that are truncated, oversized, followed by other text, or that set the author.
func TestSubmitRejectsMalformedBodies(t *testing.T) {
	g := NewWithT(t)
	f := &fakeConfiguration{}
	h := newHandler(f, nil)
	for body, status := range map[string]int{
		`{"base":1`:              http.StatusBadRequest,
		`{"base":1} {}`:          http.StatusBadRequest,
		`{"base":1,"author":""}`: http.StatusBadRequest,
		`{"text":"` + strings.Repeat("x", 3*config.MaxDocumentBytes) + `"}`: http.StatusRequestEntityTooLarge,
	} {
		w := sendRequest(h, "POST", "/v1/config", token, body)
		g.Expect(w.Code).To(Equal(status))
		g.Expect(w.Header().Get(admin.OutcomeHeader)).To(Equal(admin.OutcomeNotRun))
	}
	g.Expect(f.submissions).To(BeEmpty())
	g.Expect(sendRequest(h, "POST", "/v1/config", token, `{"base":7,"digest":"d","submission_id":"s","text":"t"}`).Code).
		To(Equal(http.StatusCreated))
	g.Expect(f.submissions).To(Equal([]config.Submission{{Base: 7, Digest: "d", SubmissionID: "s", Text: "t", Author: "ada"}}))
}

// Guards against an error response that does not say whether the submission took effect.
func TestSubmitFailuresReportOutcome(t *testing.T) {
	text := "[fleet]\nname = \"a\"\n[[priority]]\nname = \"urgent\"\ntarget = \"1s\"\n[[pool]]\nname = \"desk\"\nkind = \"service\"\n" +
		"[[route]]\npath = \"/\"\npool = \"desk\"\npriority = \"urgent\"\n"
	body, _ := json.Marshal(config.Submission{Text: strings.Replace(text, `"a"`, `"b"`, 1)})
	for _, tc := range []struct {
		name    string
		err     error
		status  int
		outcome string
		want    string
	}{
		{"faults", config.NewFaultsError("fleet.name", "is required"), 422, "not-run", `"faults":[{"key":"fleet.name"`},
		{"conflict", &config.ConflictError{Current: config.Envelope{Revision: 9, Text: text}}, 409, "not-run",
			`"difference":[{"kind":"fleet","field":"name","old":"a","new":"b"}]`},
		{"unavailable", errors.Wrap(config.ErrUnavailable, "x"), 503, "not-run", `"code":"unavailable"`},
		{"unknown outcome", errors.Mark(errors.New("x"), config.ErrOutcomeUnknown), 503, "unknown", `"code":"outcome_unknown"`},
		{"other", errors.New("x"), 500, "unknown", `"code":"internal"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			w := sendRequest(newHandler(&fakeConfiguration{err: tc.err}, nil), "POST", "/v1/config", token, string(body))
			g.Expect(w.Code).To(Equal(tc.status))
			g.Expect(w.Header().Get(admin.OutcomeHeader)).To(Equal(tc.outcome))
			g.Expect(w.Body.String()).To(ContainSubstring(tc.want))
		})
	}
}

// Guards against wrong status codes for a missing configuration or revision.
func TestConfigAndHistory(t *testing.T) {
	g := NewWithT(t)
	f := &fakeConfiguration{}
	h := newHandler(f, nil)
	g.Expect(sendRequest(h, "GET", "/v1/config", token, "").Code).To(Equal(http.StatusNotFound))
	f.active = &config.Active{Envelope: config.Envelope{Revision: 4}}
	g.Expect(sendRequest(h, "GET", "/v1/config", token, "").Body.String()).To(ContainSubstring(`"revision":4`))
	g.Expect(sendRequest(h, "GET", "/v1/config/history/3", token, "").Body.String()).To(ContainSubstring(`"revision":3`))
	g.Expect(sendRequest(h, "GET", "/v1/config/history/-3", token, "").Code).To(Equal(http.StatusBadRequest))
	f.err = config.ErrNoRevision
	g.Expect(sendRequest(h, "GET", "/v1/config/history/3", token, "").Code).To(Equal(http.StatusNotFound))
}
