package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/admin"
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/ctl"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/questionnaire"
)

var versionA, versionB = strings.Repeat("a", 64), strings.Repeat("b", 64)

// fakeEntry implements admin.Configuration and admin.StatusSource in memory. Its server can drop responses to submissions.
type fakeEntry struct {
	// ctx is the context in which commands run. Default t.Context().
	ctx         context.Context
	mu          sync.Mutex
	history     []config.Envelope
	submissions int
	// dropResponses is the number of responses to submissions that are still to be dropped.
	dropResponses int
	// onDrop runs after each dropped response.
	onDrop func()
	// statuses are the prepared results of Status.
	statuses []admin.Status
}

func (f *fakeEntry) Current() *config.Active {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.history) == 0 {
		return nil
	}
	return &config.Active{Envelope: f.history[len(f.history)-1]}
}

func (f *fakeEntry) History(_ context.Context, revision uint64) (config.Envelope, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history[revision-1], nil
}

func (f *fakeEntry) Submit(_ context.Context, s config.Submission) (config.Envelope, error) {
	if _, err := s.Validate(); err != nil {
		return config.Envelope{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submissions++
	for _, e := range f.history {
		if e.SubmissionID == s.SubmissionID {
			return e, nil
		}
	}
	if s.Base != uint64(len(f.history)) {
		return config.Envelope{}, &config.ConflictError{Current: f.history[len(f.history)-1]}
	}
	e := config.Envelope{Revision: s.Base + 1, Base: s.Base, Digest: s.Digest, SubmissionID: s.SubmissionID, Author: s.Author, Text: s.Text}
	f.history = append(f.history, e)
	return e, nil
}

// Status returns the next of the prepared statuses and repeats the last one.
func (f *fakeEntry) Status() admin.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.statuses) == 0 {
		return admin.Status{}
	}
	s := f.statuses[0]
	if len(f.statuses) > 1 {
		f.statuses = f.statuses[1:]
	}
	return s
}

func (f *fakeEntry) text() string { return f.Current().Envelope.Text }

// serve starts the admin interface and returns a function that runs pimentoctl with an unreachable entry and this one.
func (f *fakeEntry) serve(t *testing.T) func(args ...string) (code int, stdout, stderr string) {
	if f.ctx == nil {
		f.ctx = t.Context()
	}
	handler := admin.NewHandler(admin.Config{
		Tokens: map[string]string{"ada": config.Digest("token")}, Configuration: f, Status: f,
		Ready: func() error { return nil }, Metrics: http.NotFoundHandler(), Log: logr.Discard(),
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		drop := r.Method == http.MethodPost && f.dropResponses > 0
		if drop {
			f.dropResponses--
		}
		f.mu.Unlock()
		if drop {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			f.onDrop()
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	return func(args ...string) (int, string, string) {
		return runContext(f.ctx,
			map[string]string{"PIMENTOCTL_ADMIN": unreachable.URL + "," + server.URL, "PIMENTOCTL_TOKEN": "token"}, args...)
	}
}

func run(env map[string]string, args ...string) (code int, stdout, stderr string) {
	return runContext(context.Background(), env, args...)
}

func runContext(ctx context.Context, env map[string]string, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = ctl.Run(ctx, args, ctl.Environment{
		Stdout: &out, Stderr: &errs, Getenv: func(name string) string { return env[name] }, WaitInterval: time.Millisecond,
	})
	return code, out.String(), errs.String()
}

// exampleConfig returns the path and the text of an example configuration.
func exampleConfig(t testing.TB) (path, text string) {
	path = filepath.Join("..", "..", "examples", "larkspur", "fleet.toml")
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, string(content)
}

// Guards against a submission that is accepted twice or reported as failed when the response to the first attempt is lost.
func TestSubmitReusesSubmissionIDAfterLostResponse(t *testing.T) {
	g := NewWithT(t)
	f := &fakeEntry{dropResponses: 1, onDrop: func() {}}
	pimentoctl := f.serve(t)
	path, text := exampleConfig(t)
	code, stdout, stderr := pimentoctl("submit", path, "-digest", config.Digest(text), "-o", "json")
	g.Expect(code).To(Equal(ctl.ExitOK), stderr)
	var accepted config.Envelope
	g.Expect(json.Unmarshal([]byte(stdout), &accepted)).To(Succeed())
	g.Expect(accepted.Revision).To(BeEquivalentTo(1))
	g.Expect(f.submissions).To(Equal(2))
	g.Expect(f.history).To(HaveLen(1))
	g.Expect(f.history[0].Author).To(Equal("ada"))
}

// Guards against submitting a text whose digest was not approved.
func TestSubmitRequiresApprovedDigest(t *testing.T) {
	g := NewWithT(t)
	f := &fakeEntry{}
	pimentoctl := f.serve(t)
	path, text := exampleConfig(t)
	code, _, stderr := pimentoctl("submit", path)
	g.Expect(code).To(Equal(ctl.ExitUsage))
	g.Expect(stderr).To(ContainSubstring("approve with -digest " + config.Digest(text)))
	code, _, _ = pimentoctl("submit", "-digest", versionA, path)
	g.Expect(code).To(Equal(ctl.ExitRefused))
	g.Expect(f.submissions).To(BeZero())
}

// Guards against reporting a conflict with a concurrent submission as another kind of failure.
func TestSubmitConflict(t *testing.T) {
	g := NewWithT(t)
	f := &fakeEntry{}
	pimentoctl := f.serve(t)
	path, text := exampleConfig(t)
	code, _, _ := pimentoctl("submit", "-yes", path)
	g.Expect(code).To(Equal(ctl.ExitOK))
	changed := filepath.Join(t.TempDir(), "changed.toml")
	g.Expect(os.WriteFile(changed, []byte(strings.Replace(text, "canary = 1", "canary = 2", 1)), 0o600)).To(Succeed())
	code, _, stderr := pimentoctl("submit", "-yes", "-base", "0", changed)
	g.Expect(code).To(Equal(ctl.ExitConflict))
	g.Expect(stderr).To(ContainSubstring("model hemline: canary 1 -> 2"))
	g.Expect(f.history).To(HaveLen(1))
}

// Guards against edits that remove comments or change values other than the one named.
func TestRolloutAndDrainEditOneValue(t *testing.T) {
	g := NewWithT(t)
	_, text := exampleConfig(t)
	f := &fakeEntry{history: []config.Envelope{{Revision: 1, Digest: config.Digest(text), Text: text}}}
	pimentoctl := f.serve(t)
	withVersion := func(version string) string {
		return strings.Replace(text, `version = ""`, `version = "`+version+`"`, 1)
	}
	for _, step := range []struct{ args, want string }{
		{"rollout -model hemline -version " + versionA, withVersion(versionA)},
		{"rollout -model hemline -version " + versionB, withVersion(versionB)},
		{"rollout -model hemline -pause", strings.Replace(withVersion(versionB), "paused = false", "paused = true", 1)},
		{"rollout -model hemline -resume", withVersion(versionB)},
		{"rollout -model hemline -rollback", withVersion(versionA)},
		{"drain -agent agent-3", withVersion(versionA) + "\n[[drain]]\nagent = \"agent-3\"\n"},
		{"drain -agent agent-3 -cancel", withVersion(versionA) + "\n"},
	} {
		code, _, stderr := pimentoctl(strings.Fields(step.args)...)
		g.Expect(code).To(Equal(ctl.ExitOK), stderr)
		g.Expect(f.text()).To(Equal(step.want), step.args)
	}
	submissions := f.submissions
	code, _, _ := pimentoctl("rollout", "-model", "hemline", "-version", versionA)
	g.Expect(code).To(Equal(ctl.ExitOK))
	g.Expect(f.submissions).To(Equal(submissions), "nothing to change")
	code, stdout, _ := pimentoctl("history", "-n", "2", "-o", "json")
	g.Expect(code).To(Equal(ctl.ExitOK))
	g.Expect(stdout).To(And(ContainSubstring(`"revision": 8`), ContainSubstring(`"revision": 7`), Not(ContainSubstring(`"revision": 6`))))
}

// Guards against -wait returning early, never returning, or printing no progress.
func TestRolloutWait(t *testing.T) {
	_, text := exampleConfig(t)
	rolloutStatus := func(state admin.RolloutState, version string, loaded int) admin.Status {
		return admin.Status{Revision: 2, Rollouts: []admin.Rollout{
			{Model: "hemline", DataCentre: "fyn", Version: version, State: admin.RolloutDone, Loaded: 4, Replicas: 4},
			{Model: "hemline", DataCentre: "jylland", Version: version, State: state, Loaded: loaded, Replicas: 4, Message: "bad chunk"},
		}}
	}
	for _, tc := range []struct {
		name     string
		statuses []admin.Status
		code     int
		want     string
	}{
		{"done", []admin.Status{{Revision: 1}, rolloutStatus(admin.RolloutRunning, versionA, 2),
			rolloutStatus(admin.RolloutDone, versionA, 4)}, ctl.ExitOK, "jylland running 2/4"},
		{"stopped", []admin.Status{rolloutStatus(admin.RolloutStopped, versionA, 1)},
			ctl.ExitFailed, "stopped in data centre jylland: bad chunk"},
		{"superseded", []admin.Status{rolloutStatus(admin.RolloutRunning, versionB, 1)}, ctl.ExitConflict, "rolls out bbbb"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := &fakeEntry{history: []config.Envelope{{Revision: 1, Digest: config.Digest(text), Text: text}}, statuses: tc.statuses}
			code, _, stderr := f.serve(t)("rollout", "-model", "hemline", "-version", versionA, "-wait")
			g.Expect(code).To(Equal(tc.code), stderr)
			g.Expect(stderr).To(ContainSubstring(tc.want))
		})
	}
}

// Guards against drain -wait returning while requests are in flight, and against a warning about a connected agent.
func TestDrainWaitsUntilIdle(t *testing.T) {
	g := NewWithT(t)
	_, text := exampleConfig(t)
	agentStatus := func(state message.State, inFlight int) admin.Status {
		return admin.Status{Nodes: []admin.NodeStatus{{ID: "agent-3", State: state, InFlight: inFlight, Revision: 2}}}
	}
	f := &fakeEntry{history: []config.Envelope{{Revision: 1, Digest: config.Digest(text), Text: text}}, statuses: []admin.Status{
		agentStatus(message.StateServing, 0), agentStatus(message.StateServing, 0),
		agentStatus(message.StateLeaving, 3), agentStatus(message.StateLeaving, 0),
	}}
	code, _, stderr := f.serve(t)("drain", "-agent", "agent-3", "-wait")
	g.Expect(code).To(Equal(ctl.ExitOK), stderr)
	g.Expect(stderr).To(ContainSubstring("leaving, 0 queued, 3 in flight"))
	g.Expect(stderr).NotTo(ContainSubstring("warning"))
}

// Guards against invalid command lines and documents that change something, print output or return the wrong exit code.
func TestInvalidInputChangesNothing(t *testing.T) {
	path, text := exampleConfig(t)
	f := &fakeEntry{history: []config.Envelope{{Revision: 1, Digest: config.Digest(text), Text: text}}}
	pimentoctl := f.serve(t)
	for args, want := range map[string]int{
		"": ctl.ExitUsage, "destroy": ctl.ExitUsage, "submit": ctl.ExitUsage, "submit -x": ctl.ExitUsage,
		"validate nowhere.toml":  ctl.ExitUsage,
		"rollout -model hemline": ctl.ExitUsage, "rollout -model hemline -version abc": ctl.ExitUsage,
		"rollout -model hemline -pause -resume": ctl.ExitUsage, "rollout -model hemline -version " + versionA + " -o xml": ctl.ExitUsage,
		"drain": ctl.ExitUsage, "drain -agent a\"b": ctl.ExitUsage, "status -admin ftp://x": ctl.ExitUsage,
		"submit -yes -base x " + path: ctl.ExitUsage, "init -out " + path: ctl.ExitUsage,
		"rollout -model seam -version " + versionA: ctl.ExitRefused, "rollout -model hemline -rollback": ctl.ExitRefused,
		"submit -yes client.go": ctl.ExitRefused, "validate client.go": ctl.ExitRefused,
	} {
		g := NewWithT(t)
		code, stdout, stderr := pimentoctl(strings.Fields(args)...)
		g.Expect(code).To(Equal(want), args+stderr)
		g.Expect(stderr).NotTo(BeEmpty(), args)
		g.Expect(stdout).To(BeEmpty(), args)
	}
	NewWithT(t).Expect(f.submissions).To(BeZero())
}

// Guards against a subcommand without help, a template that does not parse, a key that does not match its hash, and generated output
// that differs from the example.
func TestLocalCommands(t *testing.T) {
	g := NewWithT(t)
	for _, name := range strings.Fields("init generate validate diff submit status rollout drain history explain key") {
		code, stdout, _ := run(nil, name, "-help")
		g.Expect(code).To(Equal(ctl.ExitOK))
		g.Expect(stdout).To(ContainSubstring("Examples:\n  pimentoctl " + name))
	}
	_, template, _ := run(nil, "init")
	answers, err := questionnaire.Parse(template)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = questionnaire.Generate(answers, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, stdout, _ := run(nil, "key", "-o", "json")
	var key map[string]string
	g.Expect(json.Unmarshal([]byte(stdout), &key)).To(Succeed())
	g.Expect(config.Digest(key["key"])).To(Equal(key["key_sha256"]))
	path, text := exampleConfig(t)
	answersPath := filepath.Join(filepath.Dir(path), "questionnaire.toml")
	_, stdout, _ = run(nil, "generate", answersPath)
	g.Expect(stdout).To(Equal(text))
	_, stdout, _ = run(nil, "explain", "-key", "canary", answersPath)
	g.Expect(stdout).To(MatchRegexp(`model\.hemline\.canary +1 +So many replicas`))
	_, stdout, _ = run(nil, "diff", path, path)
	g.Expect(stdout).To(Equal("no difference\n"))
	_, stdout, _ = run(nil, "validate", path)
	g.Expect(stdout).To(ContainSubstring(config.Digest(text)))
}

// Guards against reporting a submission as not accepted when its response was lost, and against reporting an unknown outcome when no
// entry could be reached.
func TestSubmitWithoutResponse(t *testing.T) {
	g := NewWithT(t)
	path, _ := exampleConfig(t)
	ctx, cancel := context.WithCancel(t.Context())
	f := &fakeEntry{ctx: ctx, dropResponses: 1000, onDrop: cancel}
	code, _, stderr := f.serve(t)("submit", "-yes", "-id", "sub-1", path)
	g.Expect(code).To(Equal(ctl.ExitFailed))
	g.Expect(stderr).To(ContainSubstring("the outcome is unknown; repeat with -id sub-1 -base 0"))
	g.Expect(f.history).To(HaveLen(1))
	code, _, stderr = run(map[string]string{"PIMENTOCTL_TOKEN": "t"},
		"submit", "-yes", "-timeout", "100ms", "-admin", "http://127.0.0.1:1", path)
	g.Expect(code).To(Equal(ctl.ExitFailed))
	g.Expect(stderr).NotTo(ContainSubstring("unknown"))
}

// Guards against a timeout that hides why the attempts before it failed: the last attempt is cut off by the deadline.
func TestTimeoutKeepsTheCauseOfEarlierAttempts(t *testing.T) {
	g := NewWithT(t)
	attempts := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if attempts++; attempts > 1 {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte(`{"error":{"code":"internal","message":"disk of the entry is full"}}`))
	}))
	t.Cleanup(server.Close)
	code, _, stderr := run(map[string]string{"PIMENTOCTL_TOKEN": "t"}, "status", "-timeout", "1500ms", "-admin", server.URL)
	g.Expect(code).To(Equal(ctl.ExitFailed))
	g.Expect(stderr).To(ContainSubstring("disk of the entry is full"))
}
