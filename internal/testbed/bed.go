package testbed

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/pimentohead/pimentohead/internal/message"
)

const (
	pollInterval = 20 * time.Millisecond
	pollTimeout  = 2 * time.Second
)

// Bed is a running fleet with its platform.
type Bed struct {
	// Version is the digest of the initial version.
	Version string

	fleet       Fleet
	dir         string
	binaries    string
	addresses   *AddressPool
	nodes       []*Node
	processes   map[string]*Process
	order       []string
	fakes       map[string]string
	places      map[string]place
	proxies     map[string]placedProxy
	regionLinks map[string]*rate.Limiter
	client      *http.Client
}

// TB is the part of testing.TB that Start needs. Programs use Launch, and so do not depend on package testing.
type TB interface {
	Helper()
	Context() context.Context
	Cleanup(func())
	Failed() bool
	Fatal(args ...any)
	Log(args ...any)
}

// Start starts a fleet for a test and ends it with the test. When the test has failed, the last log lines of each process are
// printed.
func Start(t TB, fleet Fleet) *Bed {
	t.Helper()
	bed, err := Launch(t.Context(), fleet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(bed.LogTails())
		}
		bed.Close()
	})
	return bed
}

// Launch starts a fleet and waits until every process is ready. The caller ends it with Close.
func Launch(ctx context.Context, fleet Fleet) (*Bed, error) {
	fleet.setDefaults()
	if len(fleet.DataCentres) == 0 {
		return nil, errors.New("testbed: the fleet has no data centre")
	}
	bed := &Bed{
		fleet: fleet, processes: make(map[string]*Process), fakes: make(map[string]string), places: make(map[string]place),
		proxies: make(map[string]placedProxy), regionLinks: make(map[string]*rate.Limiter),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	ctx, cancel := context.WithTimeout(ctx, fleet.ReadyTimeout)
	defer cancel()
	if err := bed.launch(ctx); err != nil {
		tails := bed.LogTails()
		bed.Close()
		return nil, errors.Wrapf(err, "testbed: start failed\n%s", tails)
	}
	return bed, nil
}

func (b *Bed) launch(ctx context.Context) error {
	var err error
	if b.binaries, err = binaryDirectory(); err != nil {
		return err
	}
	if b.dir, err = os.MkdirTemp("", "pimentohead-bed-"); err != nil {
		return err
	}
	if b.addresses, err = ReserveAddresses(); err != nil {
		return err
	}
	if err := b.plan(); err != nil {
		return err
	}
	if err := b.startPlatform(ctx); err != nil {
		return err
	}
	if err := b.writeSettings(); err != nil {
		return err
	}
	return b.startNodes(ctx)
}

// startPlatform starts the stand-ins. Engines start with the initial version, which the origin has to create first.
func (b *Bed) startPlatform(ctx context.Context) error {
	platform := []string{StoreName, OriginName, WeightStoreName, InstanceListName}
	if err := b.startAll(ctx, platform, b.awaitFake); err != nil {
		return err
	}
	info, err := b.CreateVersion(ctx, *b.fleet.InitialVersion)
	if err != nil {
		return err
	}
	b.Version = info.Version
	var upstreams []string
	for _, n := range b.nodes {
		if n.Upstream != "" {
			upstreams = append(upstreams, n.Upstream)
		}
		if n.Kind == kindModel {
			engine := b.processes[n.Upstream]
			engine.args = append(engine.args, "-version="+info.Version)
		}
	}
	return b.startAll(ctx, upstreams, b.awaitFake)
}

func (b *Bed) startNodes(ctx context.Context) error {
	if err := b.SetInstances(ctx, nil); err != nil {
		return err
	}
	ids := make([]string, 0, len(b.nodes))
	for _, n := range b.nodes {
		ids = append(ids, n.ID)
	}
	if err := b.startAll(ctx, ids, b.awaitHealthy); err != nil {
		return err
	}
	entries := b.Nodes(message.RoleEntry)
	if b.fleet.NoConfig || len(entries) == 0 {
		return nil
	}
	if err := b.submitFirst(ctx, entries[0].ID); err != nil {
		return err
	}
	for _, id := range ids {
		if err := b.AwaitReady(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// submitFirst submits the first configuration, again while the entry has no connection to the store yet.
func (b *Bed) submitFirst(ctx context.Context, entry string) error {
	var last error
	err := poll(ctx, func() bool {
		_, last = b.SubmitConfig(ctx, entry, b.fleet.Config(b.Version))
		var refused *SubmitError
		return last == nil || errors.As(last, &refused) && refused.Status != http.StatusServiceUnavailable
	})
	return errors.CombineErrors(last, err)
}

// startAll starts processes and waits for each.
func (b *Bed) startAll(ctx context.Context, names []string, await func(context.Context, string) error) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, name := range names {
		group.Go(func() error {
			if err := b.processes[name].Start(); err != nil {
				return err
			}
			return await(ctx, name)
		})
	}
	return group.Wait()
}

// Close ends all processes and proxies and deletes their files.
func (b *Bed) Close() {
	for _, p := range b.processes {
		p.Kill()
	}
	for _, proxy := range b.proxies {
		proxy.Close()
	}
	if b.addresses != nil {
		b.addresses.Release()
	}
	b.client.CloseIdleConnections()
	if b.dir != "" {
		_ = os.RemoveAll(b.dir) // Left-overs are in the system's temporary directory.
	}
}

// Nodes returns the nodes of a role, in the order of their numbers.
func (b *Bed) Nodes(role message.Role) []*Node {
	var out []*Node
	for _, n := range b.nodes {
		if n.Role == role {
			out = append(out, n)
		}
	}
	return out
}

// Node returns an entry or agent by ID, or nil.
func (b *Bed) Node(id string) *Node {
	for _, n := range b.nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

// Process returns a process by name: a node's ID, an upstream such as "engine-1", or one of the platform's names. It panics for
// an unknown name, which is a fault of the test.
func (b *Bed) Process(name string) *Process {
	p, ok := b.processes[name]
	if !ok {
		panic("testbed: no process " + name)
	}
	return p
}

// Binary returns the path of a program that was built for the bed: "pimentoheadd", "pimentoctl" or "pimentofake".
func (b *Bed) Binary(name string) string { return filepath.Join(b.binaries, name) }

// LogTails returns the last log lines of every process.
func (b *Bed) LogTails() string {
	out := ""
	for _, name := range b.order {
		if tail := b.processes[name].LogTail(); tail != "" {
			out += "--- " + name + "\n" + tail + "\n"
		}
	}
	return out
}

// awaitFake waits until a stand-in answers.
func (b *Bed) awaitFake(ctx context.Context, name string) error {
	return b.await(ctx, name, "http://"+b.fakes[name]+"/health")
}

// awaitHealthy waits until a node's admin listener answers.
func (b *Bed) awaitHealthy(ctx context.Context, id string) error {
	return b.await(ctx, id, "http://"+b.Node(id).AdminAddress+"/healthz")
}

// AwaitReady waits until a node is ready.
func (b *Bed) AwaitReady(ctx context.Context, id string) error {
	return b.await(ctx, id, "http://"+b.Node(id).AdminAddress+"/readyz")
}

// await polls url until it answers 200. It fails at once when the process has ended.
func (b *Bed) await(ctx context.Context, name, url string) error {
	ended := false
	err := poll(ctx, func() bool {
		ended = !b.processes[name].Running()
		return ended || b.answersOK(ctx, url)
	})
	if ended {
		return errors.Newf("%s ended with exit code %d", name, b.processes[name].ExitCode())
	}
	return errors.Wrapf(err, "%s is not ready", name)
}

func (b *Bed) answersOK(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // Only the status counts.
	return response.StatusCode == http.StatusOK
}

// poll calls done until it returns true or ctx ends.
func poll(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
