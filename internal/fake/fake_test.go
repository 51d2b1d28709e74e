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
	eventuallyTimeout = 20 * time.Second
	initialVersion    = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
)

// serve starts an HTTP server for handler and returns its base URL.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.URL
}

// send sends body as JSON and returns the status and the body of the response.
func send(g *WithT, method, url string, header http.Header, body any) (int, []byte) {
	encoded, err := json.Marshal(body)
	g.Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(method, url, bytes.NewReader(encoded))
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

// startEngine starts an engine with a journal file and returns its base URL.
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

func engineStatus(g Gomega, url string) fake.EngineStatus {
	response, err := http.Get(url + "/control/status")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var result fake.EngineStatus
	g.Expect(json.NewDecoder(response.Body).Decode(&result)).To(Succeed())
	return result
}

func fetchJournal(g Gomega, url string) []fake.JournalEntry {
	response, err := http.Get(url + "/fake/journal")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var result []fake.JournalEntry
	g.Expect(json.NewDecoder(response.Body).Decode(&result)).To(Succeed())
	return result
}

func chatRequest(prompt string, tokens int, stream bool) fake.ChatRequest {
	return fake.ChatRequest{Messages: []fake.ChatMessage{{Role: "user", Content: prompt}}, MaxTokens: tokens, Stream: stream}
}

// Answers must identify the prompt and the version that generated each token, and the journal the request; otherwise tests cannot
// match an answer to its request and version.
func TestEngineAnswersCarryPromptAndVersion(t *testing.T) {
	g := NewWithT(t)
	url := startEngine(t, fake.EngineConfig{Version: initialVersion})
	code, body := send(g, http.MethodPost, url+"/v1/chat/completions",
		http.Header{"Pimentohead-Request-Id": {"r1"}}, chatRequest("hello", 5, false))
	g.Expect(code).To(Equal(200))
	var answer fake.ChatAnswer
	g.Expect(json.Unmarshal(body, &answer)).To(Succeed())
	versions, err := fake.CheckText(answer.Choices[0].Message.Content, "hello", 5)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(versions).To(Equal(map[string]int{"aaaaaaaa": 5}))

	_, body = send(g, http.MethodPost, url+"/v1/chat/completions", nil, chatRequest("hello", 3, true))
	g.Expect(string(body)).To(HaveSuffix("data: [DONE]\n\n"))
	g.Expect(strings.Count(string(body), "aaaaaaaa ")).To(Equal(3))
	g.Eventually(func(g Gomega) {
		entries := fetchJournal(g, url)
		g.Expect(entries).To(HaveLen(2))
		g.Expect(entries[0].RequestID).To(Equal("r1"))
		g.Expect(entries[1].Completed).To(BeTrue())
	}).WithTimeout(eventuallyTimeout).Should(Succeed())
}

// A request must be cancelled when its caller disconnects, not run to its end.
func TestEngineCancelsOnClosedConnection(t *testing.T) {
	g := NewWithT(t)
	url := startEngine(t, fake.EngineConfig{Version: initialVersion, TokenTime: 10 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	body, err := json.Marshal(chatRequest("long", 60000, true))
	g.Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	_ = response.Body.Close()
	g.Eventually(func(g Gomega) {
		g.Expect(fetchJournal(g, url)).To(ConsistOf(And(HaveField("Cancelled", true), HaveField("Completed", false))))
		g.Expect(engineStatus(g, url).Running).To(BeZero())
	}).WithTimeout(eventuallyTimeout).Should(Succeed())
}

// Waiting requests must run in order of X-Priority, not in order of arrival.
func TestEngineHonoursPriority(t *testing.T) {
	g := NewWithT(t)
	url := startEngine(t, fake.EngineConfig{Version: initialVersion, MaxBatch: 1})
	sendChat := func(ctx context.Context, id, priority string, tokens int) {
		body, _ := json.Marshal(chatRequest(id, tokens, false))
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
		request.Header = http.Header{"X-Priority": {priority}, "Pimentohead-Request-Id": {id}}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
	occupantCtx, cancelOccupant := context.WithCancel(t.Context())
	defer cancelOccupant()
	expectWaiting := func(n int) {
		g.Eventually(func(g Gomega) int { return engineStatus(g, url).Waiting }).WithTimeout(eventuallyTimeout).Should(Equal(n))
	}
	go sendChat(occupantCtx, "first", "0", 60000)
	g.Eventually(func(g Gomega) int { return engineStatus(g, url).Running }).WithTimeout(eventuallyTimeout).Should(Equal(1))
	go sendChat(t.Context(), "low", "2", 2)
	expectWaiting(1)
	go sendChat(t.Context(), "high", "0", 2)
	expectWaiting(2)
	cancelOccupant()
	g.Eventually(func(g Gomega) {
		finished := map[string]*time.Time{}
		for _, entry := range fetchJournal(g, url) {
			finished[entry.RequestID] = entry.Finished
		}
		g.Expect(finished["low"]).NotTo(BeNil())
		g.Expect(finished["high"]).NotTo(BeNil())
		g.Expect(finished["high"].Before(*finished["low"])).To(BeTrue())
	}).WithTimeout(eventuallyTimeout).Should(Succeed())
}

// A load must fail with corrupt chunks, an unknown version, an old fencing token or without the bearer token.
func TestEngineLoadVerifiesWeights(t *testing.T) {
	g := NewWithT(t)
	originURL := serve(t, fake.NewOrigin(fake.OriginConfig{}))
	first := createVersion(g, originURL, fake.VersionSpec{Model: "m", Seed: 1, Chunks: 4, ChunkBytes: 1000})
	url := startEngine(t, fake.EngineConfig{Version: initialVersion, Fencing: true, Token: "t"})
	authorised := http.Header{"Authorization": {"Bearer t"}}
	order := fake.LoadOrder{Version: first.Version, Source: originURL, Fence: 7}
	code, _ := send(g, http.MethodPost, url+"/control/load", nil, order)
	g.Expect(code).To(Equal(401))

	readStatus := func(g Gomega) fake.EngineStatus {
		request, err := http.NewRequest(http.MethodGet, url+"/control/status", nil)
		g.Expect(err).NotTo(HaveOccurred())
		request.Header = authorised
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		var result fake.EngineStatus
		g.Expect(json.NewDecoder(response.Body).Decode(&result)).To(Succeed())
		return result
	}
	sendLoad := func(order fake.LoadOrder) int {
		code, _ := send(g, http.MethodPost, url+"/control/load", authorised, order)
		return code
	}
	send(g, http.MethodPost, originURL+"/fake/fault", nil, fake.Fault{CorruptOneIn: 1})
	g.Expect(sendLoad(order)).To(Equal(202))
	g.Eventually(readStatus).WithTimeout(eventuallyTimeout).Should(And(HaveField("LoadError", ContainSubstring("corrupt")),
		HaveField("FailedVersion", first.Version), HaveField("LoadedVersion", initialVersion), HaveField("PendingVersion", "")))
	send(g, http.MethodPost, originURL+"/fake/fault", nil, fake.Fault{})
	g.Expect(sendLoad(order)).To(Equal(202))
	g.Eventually(readStatus).WithTimeout(eventuallyTimeout).Should(HaveField("LoadedVersion", first.Version))
	order.Fence = 6
	g.Expect(sendLoad(order)).To(Equal(409))
	g.Expect(sendLoad(fake.LoadOrder{Version: initialVersion, Source: originURL, Fence: 8})).To(Equal(202))
	g.Eventually(readStatus).WithTimeout(eventuallyTimeout).Should(HaveField("LoadError", ContainSubstring("404")))
}

// An answer that is generated while a load is pending must mix both versions; otherwise tests with this stand-in could not detect
// an agent that sends requests to an engine during a load.
func TestEngineMixesVersionsDuringLoad(t *testing.T) {
	g := NewWithT(t)
	originURL := serve(t, fake.NewOrigin(fake.OriginConfig{}))
	pending := createVersion(g, originURL, fake.VersionSpec{Model: "m", Seed: 2, Chunks: 1, ChunkBytes: 10})
	url := startEngine(t, fake.EngineConfig{Version: initialVersion, LoadTime: time.Hour})
	send(g, http.MethodPost, url+"/control/load", nil, fake.LoadOrder{Version: pending.Version, Source: originURL})
	_, body := send(g, http.MethodPost, url+"/v1/chat/completions", nil, chatRequest("x", 100, false))
	g.Expect(string(body)).To(And(ContainSubstring(" aaaaaaaa "), ContainSubstring(" "+fake.ShortVersion(pending.Version)+" ")))
}

// Equal specifications must give equal versions on different origins, because the test bed creates each version on the origin and on the
// weight store. SharedWith must reuse chunks. A client must return an error for a stalled body, a chunk over the size limit and an
// unknown chunk, and report the Retry-After of a response to a request over the rate limit.
func TestOriginVersionsAndStall(t *testing.T) {
	g := NewWithT(t)
	firstOrigin, secondOrigin := serve(t, fake.NewOrigin(fake.OriginConfig{})), serve(t, fake.NewOrigin(fake.OriginConfig{}))
	spec := fake.VersionSpec{Model: "m", Seed: 3, Chunks: 4, ChunkBytes: 100000}
	first := createVersion(g, firstOrigin, spec)
	g.Expect(createVersion(g, secondOrigin, spec)).To(Equal(first))
	shared := createVersion(g, firstOrigin, fake.VersionSpec{
		Model: "m", Seed: 4, Chunks: 4, ChunkBytes: 100000, SharedWith: first.Version, SharedChunks: 3,
	})
	g.Expect(shared.Chunks[:3]).To(Equal(first.Chunks[:3]))
	g.Expect(shared.Chunks[3]).NotTo(Equal(first.Chunks[3]))

	client := origin.NewClient(firstOrigin, 0)
	_, err := client.Manifest(t.Context(), first.Version)
	g.Expect(err).NotTo(HaveOccurred())
	data, err := client.Chunk(t.Context(), first.Chunks[0], 100000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(data).To(HaveLen(100000))
	_, err = client.Chunk(t.Context(), first.Chunks[0], 99999)
	g.Expect(errors.Is(err, origin.ErrTooLarge)).To(BeTrue())
	_, err = client.Chunk(t.Context(), initialVersion, 100000)
	g.Expect(errors.Is(err, origin.ErrNotFound)).To(BeTrue())
	send(g, http.MethodPost, firstOrigin+"/fake/fault", nil, fake.Fault{Stall: true})
	_, err = client.Chunk(t.Context(), first.Chunks[1], 100000)
	g.Expect(errors.Is(err, origin.ErrStalled)).To(BeTrue())
	g.Expect(errors.Is(err, origin.ErrUnavailable)).To(BeTrue())

	limitedClient := origin.NewClient(serve(t, fake.NewOrigin(fake.OriginConfig{RequestsPerSecond: 0.01})), 0)
	_, _ = limitedClient.Manifest(t.Context(), initialVersion)
	_, err = limitedClient.Manifest(t.Context(), initialVersion)
	var rateLimited *origin.RateLimitedError
	g.Expect(errors.As(err, &rateLimited)).To(BeTrue())
	g.Expect(rateLimited.RetryAfter).To(Equal(time.Second))
}

// A list with a lag must not show a change at once; a list without a lag must. A client must report a list that is down as
// unavailable.
func TestInstanceListAppliesLag(t *testing.T) {
	g := NewWithT(t)
	immediate, lagging := serve(t, fake.NewInstanceList(0)), serve(t, fake.NewInstanceList(time.Hour))
	document := instancelist.Document{Instances: []instancelist.Instance{{ID: "a", State: instancelist.StateLeaving}}}
	for url, wantInstances := range map[string]int{immediate: 1, lagging: 0} {
		send(g, http.MethodPut, url+"/fake/instances", nil, document)
		instances, err := instancelist.NewClient(url).List(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(instances).To(HaveLen(wantInstances))
	}
	send(g, http.MethodPost, immediate+"/fake/fault", nil, fake.Fault{Down: true})
	_, err := instancelist.NewClient(immediate).List(t.Context())
	g.Expect(errors.Is(err, instancelist.ErrUnavailable)).To(BeTrue())
}

// The journal must still hold the request that crashed its upstream after the upstream has restarted.
func TestJournalSurvivesCrash(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "journal")
	journal, err := fake.OpenJournal(path)
	g.Expect(err).NotTo(HaveOccurred())
	crashed := make(chan int, 1)
	url := serve(t, fake.NewService(fake.ServiceConfig{Journal: journal, Exit: func(code int) { crashed <- code }}))
	send(g, http.MethodPost, url+"/orders", http.Header{"Idempotency-Key": {"k1"}}, "tape")
	send(g, http.MethodPost, url+"/orders", nil, fake.CrashMarker)
	g.Eventually(crashed).WithTimeout(eventuallyTimeout).Should(Receive())
	restarted, err := fake.OpenJournal(path)
	g.Expect(err).NotTo(HaveOccurred())
	url = serve(t, fake.NewService(fake.ServiceConfig{Journal: restarted}))
	entries := fetchJournal(g, url)
	g.Expect(entries).To(HaveLen(2))
	g.Expect(entries[0]).To(And(HaveField("IdempotencyKey", "k1"), HaveField("Completed", true)))
	g.Expect(entries[1]).To(And(HaveField("Completed", false), HaveField("Finished", BeNil())))
}
