package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/pimentohead/pimentohead/internal/agent"
	"github.com/pimentohead/pimentohead/internal/config"
	"github.com/pimentohead/pimentohead/internal/entry"
	"github.com/pimentohead/pimentohead/internal/fake"
	"github.com/pimentohead/pimentohead/internal/message"
	"github.com/pimentohead/pimentohead/internal/platform/store"
	"github.com/pimentohead/pimentohead/internal/settings"
)

const rolloutDocument = `[fleet]
name = "larkspur"
[[priority]]
name = "urgent"
target = "500ms"
share = 0.7
floor = 0.1
[[model]]
name = "hemline"
version = "%s"
max_unavailable = 1
canary = 1
[[pool]]
name = "assistant"
kind = "model"
model = "hemline"
[[route]]
path = "/v1/chat/completions"
pool = "assistant"
priority = "urgent"
idempotent = true
[[caller]]
name = "tailor-row"
key_sha256 = "0000000000000000000000000000000000000000000000000000000000000002"
`

// Guards against a configured version that some engine never serves, and against reading a chunk from the origin more than once.
// It runs an entry, three agents and three fake engines.
func TestVersionIsRolledOutToEveryEngine(t *testing.T) {
	g := NewWithT(t)
	originServer, storeServer := httptest.NewServer(fake.NewOrigin(fake.OriginConfig{})),
		httptest.NewServer(fake.NewStore(fake.StoreConfig{}))
	t.Cleanup(originServer.Close)
	t.Cleanup(storeServer.Close)
	run := func(task func(context.Context) error) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- task(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
	}
	entrySettings := &settings.Settings{Role: message.RoleEntry, ID: "entry-1", DataCentre: "a", Region: "r",
		Listen: settings.Listen{Caller: "127.0.0.1:0", Admin: "127.0.0.1:0", Link: "127.0.0.1:0"},
		Link:   settings.Link{Secret: secret}, Entry: settings.Entry{MaxConnections: 10}}
	entrySettings.Shutdown.Timeout = settings.Duration(time.Second)
	e, err := entry.New(entry.Options{Settings: entrySettings, Log: logr.Discard(),
		Store: store.NewClient(storeServer.URL, 100, logr.Discard()), ShutdownDelay: time.Millisecond})
	g.Expect(err).NotTo(HaveOccurred())
	run(e.Run)
	for i := range 3 {
		model, err := fake.NewEngine(fake.EngineConfig{MaxBatch: 4, Fencing: i == 0})
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(model.Close)
		upstream := httptest.NewServer(model)
		t.Cleanup(upstream.Close)
		s, err := settings.Parse("agent.toml", fmt.Appendf(nil,
			"role = \"agent\"\nid = \"agent-%d\"\ndata_centre = \"a\"\nregion = \"r\"\n"+
				"[listen]\nadmin = \"127.0.0.1:0\"\nlink = \"127.0.0.1:0\"\nweights = \"127.0.0.1:0\"\n[link]\nsecret = %q\n"+
				"[platform]\nstore = %q\norigin = %q\n[agent]\npool = \"assistant\"\nkind = \"model\"\nupstream = %q\nentries = [%q]\n",
			i, secret, storeServer.URL, originServer.URL, upstream.URL, e.LinkAddress()))
		g.Expect(err).NotTo(HaveOccurred())
		a, err := agent.New(agent.Options{Settings: s, Log: logr.Discard()})
		g.Expect(err).NotTo(HaveOccurred())
		run(a.Run)
	}
	g.Eventually(func() int { return len(e.Table().Upstreams()) }, "20s").Should(Equal(3))
	var hashes []string
	var info fake.VersionInfo
	for revision := range uint64(3) {
		response, err := http.Post(originServer.URL+"/fake/version", "application/json",
			strings.NewReader(fmt.Sprintf(`{"model":"hemline","seed":%d,"chunks":10,"chunk_bytes":4096}`, revision)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(json.NewDecoder(response.Body).Decode(&info)).To(Succeed())
		g.Expect(response.Body.Close()).To(Succeed())
		g.Expect(info.Chunks).To(HaveLen(10))
		hashes = append(hashes, info.Chunks...)
		text := fmt.Sprintf(rolloutDocument, info.Version)
		active, err := config.NewActive(config.Envelope{Revision: revision + 1, Base: revision, Digest: config.Digest(text), Text: text})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(e.Holder().Apply(active)).To(Succeed())
		g.Eventually(func() int {
			n := 0
			for _, u := range e.Table().Upstreams() {
				if u.Announce.State == message.StateServing && u.Announce.LoadedVersion == info.Version {
					n++
				}
			}
			return n
		}, "20s", "10ms").Should(Equal(3))
	}
	response, err := http.Get(originServer.URL + "/fake/served")
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var served fake.OriginStats
	g.Expect(json.NewDecoder(response.Body).Decode(&served)).To(Succeed())
	for _, hash := range hashes {
		g.Expect(served.Chunks[hash]).To(Equal(int64(4096)), hash)
	}
}
