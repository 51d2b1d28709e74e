package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/faultproxy"
	"github.com/pimentohead/pimentohead/internal/testbed"
	"github.com/pimentohead/pimentohead/platform"
	"github.com/pimentohead/pimentohead/platform/standin"
)

// Size and timing of a fleet of scale 1, which is small so that several runs fit on one machine. The scale multiplies the sizes of data
// centres.
const (
	dataCentres          = 2
	entriesPerDataCentre = 2
	modelsPerDataCentre  = 2
	desksPerDataCentre   = 1
	announceInterval     = 400 * time.Millisecond
	// versionApplyMS is the time in milliseconds after the publication of a version after which no request may start on an older one.
	versionApplyMS = 8000
	// shortVersionMS is the same for runs with a mix of faults, in which the times of several versions end.
	shortVersionMS = 4200
	// configApplyMS is the same for the publication of a configuration.
	configApplyMS = 2000
	// graceS is the time in seconds from SIGTERM to the end of a process.
	graceS = 3
	// Streams are long enough for faults to meet them. Servers load for different times, so that they hold different versions.
	eventCount    = 8
	eventInterval = 15 * time.Millisecond
	minLoadTime   = 100 * time.Millisecond
	slowLoads     = 4
	linkSecret    = "a secret of sixteen bytes or more"
)

// testFleet is a fleet of real processes with the stand-ins for the platform that they connect to through fault proxies.
type testFleet struct {
	dir    string
	addrs  *testbed.AddressPool
	store  *standin.Store
	origin *standin.Origin
	models []*standin.ModelServer
	// desks are the servers of the service "desk", which runs orders and lookups, stocks those of "stock", to which the operator moves some.
	desks, stocks []*standin.PlainServer
	proxies       map[string]*faultproxy.Proxy
	entries       []*node
	agents        []*node
	servers       []*http.Server
	announceCount atomic.Int64
	// configVersion is the version of the configuration that was written last.
	configVersion atomic.Int64
	// config is the newest configuration. Guarded by operatorMu.
	config fleetConfig
	// timeline records planned work and silences.
	timeline timeline
	// silences records when sound servers held back all bytes. They are no disturbances.
	silences disturbances
	// disturbances records when faults stopped entries and broke the links to servers.
	disturbances disturbances
	// statements counts how often a server has said that it pauses or leaves.
	statements atomic.Int64
	// operatorMu serialises what the operator writes. It guards newestVersion, the version that was published last, and lateCopyAfter, the
	// delay of the late copies of the operator's writes, 0 for none.
	operatorMu    sync.Mutex
	newestVersion int64
	lateCopyAfter time.Duration
	// versions and configs are the versions of the model and of the configuration that the operator has published.
	versions, configs publications
	bounds            fleetBounds
	// outages counts the faults that make a server unreachable.
	outages outages
	stop    chan struct{}
}

// fleetBounds are bounds in milliseconds that nodes read from their settings.
type fleetBounds struct {
	// versionMS is the time after the publication of a version after which no request may start on an older one.
	versionMS int64
	// contactMS is the time for which a node must have been undisturbed for bounds to apply to it.
	contactMS int64
}

// node is an entry or agent process. The addresses are set for entries only.
type node struct {
	*testbed.Process
	callerAddress, readyAddress string
}

// dataCentreName returns the data centre of the i-th node or server.
func dataCentreName(i int) string { return fmt.Sprintf("zone-%d", i%dataCentres) }

// entryName returns the name of the i-th entry.
func entryName(i int) string { return fmt.Sprintf("edge-%d", i) }

// newTestFleet starts the stand-ins and the processes of a fleet.
func newTestFleet(scale int, bounds fleetBounds) (fleet *testFleet, err error) {
	fleet = &testFleet{bounds: bounds, newestVersion: 1, store: standin.NewStore(), origin: &standin.Origin{},
		proxies: map[string]*faultproxy.Proxy{}, stop: make(chan struct{})}
	defer func() {
		if err != nil {
			fleet.close()
		}
	}()
	if fleet.dir, err = os.MkdirTemp("", "pimentohead-soak-"); err != nil {
		return fleet, errors.Wrap(err, "soak")
	}
	if fleet.addrs, err = testbed.ReserveAddresses(); err != nil {
		return fleet, err
	}
	for name, handler := range map[string]http.Handler{"store": fleet.store, "origin": fleet.origin} {
		if err := fleet.startStandIn(name, handler); err != nil {
			return fleet, err
		}
	}
	if err := fleet.startServers(scale); err != nil {
		return fleet, err
	}
	fleet.writeNextConfig()
	fleet.announceServers()
	go fleet.announcePeriodically()
	return fleet, fleet.startNodes(scale)
}

// startServers starts the stand-ins for the servers.
func (fleet *testFleet) startServers(scale int) error {
	models := dataCentres * modelsPerDataCentre * scale
	for i := range models {
		// The last one starts without weights (version 0), the others with version 1.
		m := standin.NewModelServer(fmt.Sprintf("model-%d", i), int64(1-i/(models-1)))
		m.EventCount, m.EventInterval, m.LoadTime = eventCount, eventInterval, time.Duration(1+i%slowLoads)*minLoadTime
		fleet.models = append(fleet.models, m)
		if err := fleet.startStandIn(m.ID, m); err != nil {
			return err
		}
	}
	for i := range dataCentres * desksPerDataCentre * scale {
		fleet.desks = append(fleet.desks, standin.NewPlainServer(fmt.Sprintf("desk-%d", i)))
		fleet.stocks = append(fleet.stocks, standin.NewPlainServer(fmt.Sprintf("stock-%d", i)))
	}
	for _, s := range fleet.plainServers() {
		if err := fleet.startStandIn(s.ID, s); err != nil {
			return err
		}
	}
	return nil
}

// plainServers returns the servers that are no model servers.
func (fleet *testFleet) plainServers() []*standin.PlainServer {
	return slices.Concat(fleet.desks, fleet.stocks)
}

// startStandIn serves a handler behind a fault proxy.
func (fleet *testFleet) startStandIn(name string, handler http.Handler) error {
	l, err := net.Listen("tcp", fleet.addrs.Take())
	if err != nil {
		return errors.Wrap(err, "soak: listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	fleet.servers = append(fleet.servers, server)
	go func() { _ = server.Serve(l) }()
	proxy, err := faultproxy.New(fleet.addrs.Take(), l.Addr().String(), faultproxy.Source{})
	if err != nil {
		return err
	}
	fleet.proxies[name] = proxy
	return nil
}

// announceServers writes all servers to the server list in the store, as the servers do themselves.
func (fleet *testFleet) announceServers() {
	n := fleet.announceCount.Add(1)
	for i, m := range fleet.models {
		fleet.store.Put("servers/"+m.ID, m.ServerDocument("pool", fleet.proxies[m.ID].Address(), dataCentreName(i), "ready", n))
	}
	for i, s := range fleet.plainServers() {
		service, _, _ := strings.Cut(s.ID, "-")
		fleet.store.Put("servers/"+s.ID, map[string]any{"service": service, "address": fleet.proxies[s.ID].Address(),
			"zone": dataCentreName(i), "state": "ready", "slots": 6, "seq": n, "born": 1})
	}
}

// announcePeriodically repeats the announcement of all servers until the fleet is closed.
func (fleet *testFleet) announcePeriodically() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-fleet.stop:
			return
		case <-ticker.C:
			fleet.announceServers()
		}
	}
}

// startNodes starts the entries and one agent for each model server.
func (fleet *testFleet) startNodes(scale int) error {
	daemon, err := testbed.Daemon()
	if err != nil {
		return err
	}
	seedAddress := fleet.addrs.Take() // The nodes join the fleet through this address of the first entry.
	for i := range dataCentres * entriesPerDataCentre * scale {
		n := &node{callerAddress: fleet.addrs.Take(), readyAddress: fleet.addrs.Take()}
		control := fleet.addrs.Take()
		if i == 0 {
			control = seedAddress
		}
		listen := fmt.Sprintf("[listen]\nfrontend = %q\nreadiness = %q\ncontrol_plane = %q\n", n.callerAddress, n.readyAddress, control)
		if n.Process, err = fleet.startNode(
			daemon, "entry", entryName(i), dataCentreName(i), seedAddress, "", listen); err != nil {
			return err
		}
		fleet.entries = append(fleet.entries, n)
	}
	for i, m := range fleet.models {
		app := fmt.Sprintf("app = %q\nservice = \"pool\"\n", fleet.proxies[m.ID].Address())
		p, err := fleet.startNode(daemon, "agent", fmt.Sprintf("side-%d", i), dataCentreName(i), seedAddress, app, "")
		if err != nil {
			return err
		}
		fleet.agents = append(fleet.agents, &node{Process: p})
	}
	return nil
}

// startNode writes the settings file of a node and starts its process. app holds the lines of that file that only agents have, listen
// those that only entries have; the other one is empty.
func (fleet *testFleet) startNode(daemon, role, name, dataCentre, seedAddress, app, listen string) (*testbed.Process, error) {
	first, last := fleet.addrs.Take(), fleet.addrs.Take()
	ip, port, _ := strings.Cut(first, ":")
	_, lastPort, _ := strings.Cut(last, ":")
	text := fmt.Sprintf("node_name = %q\nip = %q\nzone = %q\nregion = %q\ninternal_ports = [%s, %s]\nseeds = [%q]\n%s",
		name, ip, dataCentre, dataCentre, port, lastPort, seedAddress, app)
	text += listen + fmt.Sprintf("[bounds]\ngrace_s = %d\ncontact_ms = %d\nversion_ms = %d\nretry_budget_ratio = 0.2\nretry_slack = 200\n"+
		"budget_window_s = 10\n[platform]\naddress = %q\n", graceS, fleet.bounds.contactMS, fleet.bounds.versionMS, fleet.proxies["store"].Address())
	path := filepath.Join(fleet.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "soak: write settings")
	}
	env := []string{platform.SettingsFileVariable + "=" + path, "PIMENTOHEAD_LINK_SECRET=" + linkSecret}
	p := testbed.NewProcess(name, daemon, []string{"platform", role}, env, filepath.Join(fleet.dir, name+".log"))
	return p, p.Start()
}

// copyLogs copies the logs and settings of all nodes to a directory.
func (fleet *testFleet) copyLogs(directory string) error {
	if err := os.MkdirAll(directory, 0o750); err != nil {
		return errors.Wrap(err, "soak: copy logs")
	}
	return errors.Wrap(os.CopyFS(directory, os.DirFS(fleet.dir)), "soak: copy logs")
}

// close kills the processes and stops the stand-ins.
func (fleet *testFleet) close() {
	close(fleet.stop)
	for _, n := range append(append([]*node(nil), fleet.entries...), fleet.agents...) {
		n.Resume()
		n.Kill()
	}
	for _, p := range fleet.proxies {
		p.Close()
	}
	for _, s := range fleet.servers {
		_ = s.Close()
	}
	if fleet.addrs != nil {
		fleet.addrs.Release()
	}
	_ = os.RemoveAll(fleet.dir) // Files that cannot be removed stay in the temporary directory of the system.
}
