package fake_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/platform/instancelist"
	"github.com/pimentohead/pimentohead/internal/platform/origin"
)

const (
	wait      = 20 * time.Second
	oldDigest = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
)

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.URL
}

func send(g *WithT, method, url string, header http.Header, body any) (int, []byte) {
	text, err := json.Marshal(body)
	g.Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(method, url, bytes.NewReader(text))
	g.Expect(err).NotTo(HaveOccurred())
	if header != nil {
		request.Header = header
	}
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, answer
}

func startEngine(t *testing.T, config fake.EngineConfig) string {
	t.Helper()
	g := NewWithT(t)
	journal, err := fake.OpenJournal(filepath.Join(t.TempDir(), "journal"))
	g.Expect(err).NotTo(HaveOccurred())
	config.Journal, config.TokenTime = journal, max(config.TokenTime, time.Millisecond)
	if config.MaxBatch == 0 {
		config.MaxBatch = 4
	}
	engine, err := fake.NewEngine(config)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(engine.Close)
	return serve(t, engine)
}

func createVersion(g *WithT, url string, spec fake.VersionSpec) fake.VersionInfo {
	status, body := send(g, http.MethodPost, url+"/fake/version", nil, spec)
	g.Expect(status).To(Equal(200))
	var info fake.VersionInfo
	g.Expect(json.Unmarshal(body, &info)).To(Succeed())
	return info
}

func status(g Gomega, url string) fake.EngineStatus {
	response, err := http.Get(url + "/control/status")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var out fake.EngineStatus
	g.Expect(json.NewDecoder(response.Body).Decode(&out)).To(Succeed())
	return out
}

func journal(g Gomega, url string) []fake.JournalEntry {
	response, err := http.Get(url + "/fake/journal")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var out []fake.JournalEntry
	g.Expect(json.NewDecoder(response.Body).Decode(&out)).To(Succeed())
	return out
}

func chat(prompt string, tokens int, stream bool) fake.ChatRequest {
	return fake.ChatRequest{Messages: []fake.ChatMessage{{Role: "user", Content: prompt}}, MaxTokens: tokens, Stream: stream}
}

// Guards against an engine whose answers cannot be matched to their request and version.
func TestEngineAnswersCarryPromptAndVersion(t *testing.T) {
	g := NewWithT(t)
	url := startEngine(t, fake.EngineConfig{Version: oldDigest})
	code, body := send(g, http.MethodPost, url+"/v1/chat/completions",
		http.Header{"Pimentohead-Request-Id": {"r1"}}, chat("hello", 5, false))
	g.Expect(code).To(Equal(200))
	var whole fake.ChatAnswer
	g.Expect(json.Unmarshal(body, &whole)).To(Succeed())
	versions, err := fake.CheckText(whole.Choices[0].Message.Content, "hello", 5)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(versions).To(Equal(map[string]int{"aaaaaaaa": 5}))

	_, body = send(g, http.MethodPost, url+"/v1/chat/completions", nil, chat("hello", 3, true))
	g.Expect(string(body)).To(HaveSuffix("data: [DONE]\n\n"))
	g.Expect(strings.Count(string(body), "aaaaaaaa ")).To(Equal(3))
	g.Eventually(func(g Gomega) {
		entries := journal(g, url)
		g.Expect(entries).To(HaveLen(2))
		g.Expect(entries[0].RequestID).To(Equal("r1"))
		g.Expect(entries[1].Completed).To(BeTrue())
	}).WithTimeout(wait).Should(Succeed())
}

// Guards against an engine that goes on with a request whose caller has disconnected.
func TestEngineCancelsOnClosedConnection(t *testing.T) {
	g := NewWithT(t)
	url := startEngine(t, fake.EngineConfig{Version: oldDigest, TokenTime: 10 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	body, err := json.Marshal(chat("long", 60000, true))
	g.Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	_ = response.Body.Close()
	g.Eventually(func(g Gomega) {
		g.Expect(journal(g, url)).To(ConsistOf(And(HaveField("Cancelled", true), HaveField("Completed", false))))
		g.Expect(status(g, url).Running).To(BeZero())
	}).WithTimeout(wait).Should(Succeed())
}

// Guards against an engine that serves its waiting list without regard to X-Priority.
func TestEngineHonoursPriority(t *testing.T) {
	g := NewWithT(t)
	url := startEngine(t, fake.EngineConfig{Version: oldDigest, MaxBatch: 1})
	post := func(ctx context.Context, id, priority string, tokens int) {
		body, _ := json.Marshal(chat(id, tokens, false))
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
		request.Header = http.Header{"X-Priority": {priority}, "Pimentohead-Request-Id": {id}}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
	occupied, free := context.WithCancel(t.Context())
	defer free()
	waiting := func(n int) {
		g.Eventually(func(g Gomega) int { return status(g, url).Waiting }).WithTimeout(wait).Should(Equal(n))
	}
	go post(occupied, "first", "0", 60000)
	g.Eventually(func(g Gomega) int { return status(g, url).Running }).WithTimeout(wait).Should(Equal(1))
	go post(t.Context(), "low", "2", 2)
	waiting(1)
	go post(t.Context(), "high", "0", 2)
	waiting(2)
	free()
	g.Eventually(func(g Gomega) {
		finished := map[string]*time.Time{}
		for _, entry := range journal(g, url) {
			finished[entry.RequestID] = entry.Finished
		}
		g.Expect(finished["low"]).NotTo(BeNil())
		g.Expect(finished["high"]).NotTo(BeNil())
		g.Expect(finished["high"].Before(*finished["low"])).To(BeTrue())
	}).WithTimeout(wait).Should(Succeed())
}

// Guards against a load that succeeds with corrupt chunks, an unknown version, or under an old fencing number.
func TestEngineLoadVerifiesWeights(t *testing.T) {
	g := NewWithT(t)
	source := serve(t, fake.NewOrigin(fake.OriginConfig{}))
	first := createVersion(g, source, fake.VersionSpec{Model: "m", Seed: 1, Chunks: 4, ChunkBytes: 1000})
	url := startEngine(t, fake.EngineConfig{Version: oldDigest, Fencing: true, Token: "t"})
	authorised := http.Header{"Authorization": {"Bearer t"}}
	order := fake.LoadOrder{Version: first.Version, Source: source, Fence: 7}
	code, _ := send(g, http.MethodPost, url+"/control/load", nil, order)
	g.Expect(code).To(Equal(401))

	read := func(g Gomega) fake.EngineStatus {
		request, err := http.NewRequest(http.MethodGet, url+"/control/status", nil)
		g.Expect(err).NotTo(HaveOccurred())
		request.Header = authorised
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		var out fake.EngineStatus
		g.Expect(json.NewDecoder(response.Body).Decode(&out)).To(Succeed())
		return out
	}
	load := func(order fake.LoadOrder) int {
		code, _ := send(g, http.MethodPost, url+"/control/load", authorised, order)
		return code
	}
	send(g, http.MethodPost, source+"/fake/fault", nil, fake.Fault{CorruptOneIn: 1})
	g.Expect(load(order)).To(Equal(202))
	g.Eventually(read).WithTimeout(wait).Should(And(HaveField("LoadError", ContainSubstring("corrupt")),
		HaveField("FailedVersion", first.Version), HaveField("LoadedVersion", oldDigest), HaveField("PendingVersion", "")))
	send(g, http.MethodPost, source+"/fake/fault", nil, fake.Fault{})
	g.Expect(load(order)).To(Equal(202))
	g.Eventually(read).WithTimeout(wait).Should(HaveField("LoadedVersion", first.Version))
	order.Fence = 6
	g.Expect(load(order)).To(Equal(409))
	g.Expect(load(fake.LoadOrder{Version: oldDigest, Source: source, Fence: 8})).To(Equal(202))
	g.Eventually(read).WithTimeout(wait).Should(HaveField("LoadError", ContainSubstring("404")))
}

// Guards against a stand-in that hides the hazard of answers from two versions during a load.
func TestEngineMixesVersionsDuringLoad(t *testing.T) {
	g := NewWithT(t)
	source := serve(t, fake.NewOrigin(fake.OriginConfig{}))
	next := createVersion(g, source, fake.VersionSpec{Model: "m", Seed: 2, Chunks: 1, ChunkBytes: 10})
	url := startEngine(t, fake.EngineConfig{Version: oldDigest, LoadTime: time.Hour})
	send(g, http.MethodPost, url+"/control/load", nil, fake.LoadOrder{Version: next.Version, Source: source})
	_, body := send(g, http.MethodPost, url+"/v1/chat/completions", nil, chat("x", 100, false))
	g.Expect(string(body)).To(And(ContainSubstring(" aaaaaaaa "), ContainSubstring(" "+fake.ShortVersion(next.Version)+" ")))
}

// Guards against origins that disagree on a version, and against clients that wait for a stalled body for ever.
func TestOriginVersionsAndStall(t *testing.T) {
	g := NewWithT(t)
	one, two := serve(t, fake.NewOrigin(fake.OriginConfig{})), serve(t, fake.NewOrigin(fake.OriginConfig{}))
	spec := fake.VersionSpec{Model: "m", Seed: 3, Chunks: 4, ChunkBytes: 100000}
	first := createVersion(g, one, spec)
	g.Expect(createVersion(g, two, spec)).To(Equal(first))
	shared := createVersion(g, one, fake.VersionSpec{
		Model: "m", Seed: 4, Chunks: 4, ChunkBytes: 100000, SharedWith: first.Version, SharedChunks: 3,
	})
	g.Expect(shared.Chunks[:3]).To(Equal(first.Chunks[:3]))
	g.Expect(shared.Chunks[3]).NotTo(Equal(first.Chunks[3]))

	client := origin.NewClient(one, 0)
	_, err := client.Manifest(t.Context(), first.Version)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := client.Chunk(t.Context(), first.Chunks[0], 100000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(data).To(HaveLen(100000))
	_, err = client.Chunk(t.Context(), first.Chunks[0], 99999)
	g.Expect(errors.Is(err, origin.ErrTooLarge)).To(BeTrue())
	_, err = client.Chunk(t.Context(), oldDigest, 100000)
	g.Expect(errors.Is(err, origin.ErrNotFound)).To(BeTrue())
	send(g, http.MethodPost, one+"/fake/fault", nil, fake.Fault{Stall: true})
	_, err = client.Chunk(t.Context(), first.Chunks[1], 100000)
	g.Expect(errors.Is(err, origin.ErrStalled)).To(BeTrue())
	g.Expect(errors.Is(err, origin.ErrUnavailable)).To(BeTrue())

	limited := origin.NewClient(serve(t, fake.NewOrigin(fake.OriginConfig{RequestsPerSecond: 0.01})), 0)
	_, _ = limited.Manifest(t.Context(), oldDigest)
	_, err = limited.Manifest(t.Context(), oldDigest)
	var rateLimited *origin.RateLimitedError
	g.Expect(errors.As(err, &rateLimited)).To(BeTrue())
	g.Expect(rateLimited.RetryAfter).To(Equal(time.Second))
}

// Guards against a list without lag.
func TestListLags(t *testing.T) {
	g := NewWithT(t)
	prompt, lagging := serve(t, fake.NewInstanceList(0)), serve(t, fake.NewInstanceList(time.Hour))
	document := instancelist.Document{Instances: []instancelist.Instance{{ID: "a", State: instancelist.StateLeaving}}}
	for url, want := range map[string]int{prompt: 1, lagging: 0} {
		send(g, http.MethodPut, url+"/fake/instances", nil, document)
		instances, err := instancelist.NewClient(url).List(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(instances).To(HaveLen(want))
	}
	send(g, http.MethodPost, prompt+"/fake/fault", nil, fake.Fault{Down: true})
	_, err := instancelist.NewClient(prompt).List(t.Context())
	g.Expect(errors.Is(err, instancelist.ErrUnavailable)).To(BeTrue())
}

// Guards against a journal that forgets the request that crashed its upstream.
func TestJournalSurvivesCrash(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "journal")
	open, err := fake.OpenJournal(path)
	g.Expect(err).NotTo(HaveOccurred())
	crashed := make(chan int, 1)
	url := serve(t, fake.NewService(fake.ServiceConfig{Journal: open, Exit: func(code int) { crashed <- code }}))
	send(g, http.MethodPost, url+"/orders", http.Header{"Idempotency-Key": {"k1"}}, "tape")
	send(g, http.MethodPost, url+"/orders", nil, fake.CrashMarker)
	g.Eventually(crashed).WithTimeout(wait).Should(Receive())
	restarted, err := fake.OpenJournal(path)
	g.Expect(err).NotTo(HaveOccurred())
	url = serve(t, fake.NewService(fake.ServiceConfig{Journal: restarted}))
	entries := journal(g, url)
	g.Expect(entries).To(HaveLen(2))
	g.Expect(entries[0]).To(And(HaveField("OrderKey", "k1"), HaveField("Completed", true)))
	g.Expect(entries[1]).To(And(HaveField("Completed", false), HaveField("Finished", BeNil())))
}
