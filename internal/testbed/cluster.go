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
	// pollTimeout is the timeout of one request to a process that is being polled.
	pollTimeout = 2 * time.Second
)

// Cluster is a running fleet of entries and agents with fakes of the platform services and the upstreams.
type Cluster struct {
	// Version is the digest of the initial model version.
	Version string

	fleet Fleet
	// dir is the working directory of the fleet, binaries the directory of the built programs.
	dir       string
	binaries  string
	addresses *AddressPool
	nodes     []*Node
	processes map[string]*Process
	// processNames lists the processes in the order in which they were added.
	processNames []string
	// fakeAddresses and fakeLocations hold the listen address and the location of each fake, by process name.
	fakeAddresses map[string]string
	fakeLocations map[string]location
	proxies       map[string]locatedProxy
	// regionLimiters holds the bandwidth limiter of each direction between two regions, by "FROM>TO".
	regionLimiters map[string]*rate.Limiter
	client         *http.Client
}

// TB is the subset of testing.TB that Start uses. Programs that are not tests call Launch and thus do not import package testing.
type TB interface {
	Helper()
	Context() context.Context
	Cleanup(func())
	Failed() bool
	Fatal(args ...any)
	Log(args ...any)
}

// Start starts a fleet for a test and closes it when the test ends. If the test failed, it logs the last log lines of each
// process.
func Start(t TB, fleet Fleet) *Cluster {
	t.Helper()
	cluster, err := Launch(t.Context(), fleet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(cluster.LogTails())
		}
		cluster.Close()
	})
	return cluster
}

// Launch starts a fleet and waits until every process is ready, or healthy if no configuration is submitted. The caller must call
// Close. If the start fails, the error includes the last log lines of each process.
func Launch(ctx context.Context, fleet Fleet) (*Cluster, error) {
	fleet.setDefaults()
	if len(fleet.DataCentres) == 0 {
		return nil, errors.New("testbed: the fleet has no data centre")
	}
	cluster := &Cluster{
		fleet: fleet, processes: make(map[string]*Process), fakeAddresses: make(map[string]string),
		fakeLocations: make(map[string]location), proxies: make(map[string]locatedProxy), regionLimiters: make(map[string]*rate.Limiter),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	ctx, cancel := context.WithTimeout(ctx, fleet.ReadyTimeout)
	defer cancel()
	if err := cluster.launch(ctx); err != nil {
		tails := cluster.LogTails()
		cluster.Close()
		return nil, errors.Wrapf(err, "testbed: start the fleet\n%s", tails)
	}
	return cluster, nil
}

func (c *Cluster) launch(ctx context.Context) error {
	var err error
	if c.binaries, err = binaryDirectory(); err != nil {
		return err
	}
	if c.dir, err = os.MkdirTemp("", "pimentohead-cluster-"); err != nil {
		return err
	}
	if c.addresses, err = ReserveAddresses(); err != nil {
		return err
	}
	if err := c.plan(); err != nil {
		return err
	}
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	if err := c.writeSettings(); err != nil {
		return err
	}
	return c.startNodes(ctx)
}

// startPlatform starts the fakes: first the platform services, then the upstreams. Engines start with the initial version loaded,
// so the origin has to create that version before they start.
func (c *Cluster) startPlatform(ctx context.Context) error {
	platform := []string{StoreName, OriginName, WeightStoreName, InstanceListName}
	if err := c.startAll(ctx, platform, c.awaitFake); err != nil {
		return err
	}
	info, err := c.CreateVersion(ctx, *c.fleet.InitialVersion)
	if err != nil {
		return err
	}
	c.Version = info.Version
	var upstreams []string
	for _, n := range c.nodes {
		if n.Upstream != "" {
			upstreams = append(upstreams, n.Upstream)
		}
		if n.Kind == kindModel {
			engine := c.processes[n.Upstream]
			engine.args = append(engine.args, "-version="+info.Version)
		}
	}
	return c.startAll(ctx, upstreams, c.awaitFake)
}

// startNodes starts the entries and agents. It then submits the first configuration and waits until each node is ready, unless
// the fleet has NoConfig set or no entries.
func (c *Cluster) startNodes(ctx context.Context) error {
	if err := c.SetInstances(ctx, nil); err != nil {
		return err
	}
	ids := make([]string, 0, len(c.nodes))
	for _, n := range c.nodes {
		ids = append(ids, n.ID)
	}
	if err := c.startAll(ctx, ids, c.awaitHealthy); err != nil {
		return err
	}
	entries := c.Nodes(message.RoleEntry)
	if c.fleet.NoConfig || len(entries) == 0 {
		return nil
	}
	if err := c.submitFirstConfig(ctx, entries[0].ID); err != nil {
		return err
	}
	for _, id := range ids {
		if err := c.AwaitReady(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// submitFirstConfig submits the first configuration. It retries until the entry accepts the configuration or refuses it with a
// status other than 503, which an entry returns while it is not connected to the store.
func (c *Cluster) submitFirstConfig(ctx context.Context, entry string) error {
	var lastErr error
	err := poll(ctx, func() bool {
		_, lastErr = c.SubmitConfig(ctx, entry, c.fleet.Config(c.Version))
		var refused *SubmitError
		return lastErr == nil || errors.As(lastErr, &refused) && refused.Status != http.StatusServiceUnavailable
	})
	return errors.CombineErrors(lastErr, err)
}

// startAll starts the named processes concurrently and waits for each of them with await.
func (c *Cluster) startAll(ctx context.Context, names []string, await func(context.Context, string) error) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, name := range names {
		group.Go(func() error {
			if err := c.processes[name].Start(); err != nil {
				return err
			}
			return await(ctx, name)
		})
	}
	return group.Wait()
}

// Close kills all processes, closes the proxies, releases the IP address and deletes the working directory.
func (c *Cluster) Close() {
	for _, p := range c.processes {
		p.Kill()
	}
	for _, proxy := range c.proxies {
		proxy.Close()
	}
	if c.addresses != nil {
		c.addresses.Release()
	}
	c.client.CloseIdleConnections()
	if c.dir != "" {
		_ = os.RemoveAll(c.dir) // Files that remain are in the system's temporary directory.
	}
}

// Nodes returns the nodes of a role, ordered by the number in their ID.
func (c *Cluster) Nodes(role message.Role) []*Node {
	var out []*Node
	for _, n := range c.nodes {
		if n.Role == role {
			out = append(out, n)
		}
	}
	return out
}

// Node returns the entry or agent with an ID, or nil if there is none.
func (c *Cluster) Node(id string) *Node {
	for _, n := range c.nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

// Process returns a process by name: a node's ID, an upstream such as "engine-1", or a platform service such as StoreName. It
// panics if the name is unknown, because that is a bug in the test.
func (c *Cluster) Process(name string) *Process {
	p, ok := c.processes[name]
	if !ok {
		panic("testbed: unknown process " + name)
	}
	return p
}

// Binary returns the path of a program that was built for the test cluster: "pimentoheadd", "pimentoctl" or "pimentofake".
func (c *Cluster) Binary(name string) string { return filepath.Join(c.binaries, name) }

// LogTails returns the last log lines of every process.
func (c *Cluster) LogTails() string {
	out := ""
	for _, name := range c.processNames {
		if tail := c.processes[name].LogTail(); tail != "" {
			out += "--- " + name + "\n" + tail + "\n"
		}
	}
	return out
}

// awaitFake waits until a fake answers /health with status 200.
func (c *Cluster) awaitFake(ctx context.Context, name string) error {
	return c.await(ctx, name, "http://"+c.fakeAddresses[name]+"/health")
}

// awaitHealthy waits until a node answers /healthz with status 200.
func (c *Cluster) awaitHealthy(ctx context.Context, id string) error {
	return c.await(ctx, id, "http://"+c.Node(id).AdminAddress+"/healthz")
}

// AwaitReady waits until a node answers /readyz with status 200.
func (c *Cluster) AwaitReady(ctx context.Context, id string) error {
	return c.await(ctx, id, "http://"+c.Node(id).AdminAddress+"/readyz")
}

// await polls url until it answers with status 200. It returns an error as soon as the process has exited.
func (c *Cluster) await(ctx context.Context, name, url string) error {
	ended := false
	err := poll(ctx, func() bool {
		ended = !c.processes[name].Running()
		return ended || c.answersOK(ctx, url)
	})
	if ended {
		return errors.Newf("%s exited with code %d", name, c.processes[name].ExitCode())
	}
	return errors.Wrapf(err, "%s is not ready", name)
}

// answersOK reports whether a GET request to url is answered with status 200 within pollTimeout.
func (c *Cluster) answersOK(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // Only the status is used.
	return response.StatusCode == http.StatusOK
}

// poll calls condition every pollInterval until it returns true or ctx is done.
func poll(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
