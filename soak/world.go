package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
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

// Sizes of the fleet: small, so that several runs fit on one machine.
const (
	centres      = 2
	entriesEach  = 2
	modelsEach   = 2
	beatInterval = 400 * time.Millisecond
	versionMS    = 8000
	linkSecret   = "a secret of sixteen bytes or more"
)

// world is a fleet with its stand-ins.
type world struct {
	dir     string
	addrs   *testbed.AddressPool
	store   *standin.Store
	origin  *standin.Origin
	models  []*standin.ModelServer
	desks   []*standin.PlainServer
	proxies map[string]*faultproxy.Proxy
	entries []*node
	agents  []*node
	servers []*http.Server
	beats   atomic.Int64
	config  atomic.Int64
	// version guards newest, the version that was named last.
	version sync.Mutex
	newest  int64
	stop    chan struct{}
}

// node is a process with its addresses.
type node struct {
	*testbed.Process
	caller, ready string
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%centres) }

// newWorld starts stand-ins and processes.
func newWorld() (w *world, err error) {
	w = &world{newest: 1, store: standin.NewStore(), origin: &standin.Origin{}, proxies: map[string]*faultproxy.Proxy{}, stop: make(chan struct{})}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	if w.dir, err = os.MkdirTemp("", "pimentohead-soak-"); err != nil {
		return w, errors.Wrap(err, "soak")
	}
	if w.addrs, err = testbed.ReserveAddresses(); err != nil {
		return w, err
	}
	for name, handler := range map[string]http.Handler{"store": w.store, "origin": w.origin} {
		if err := w.standIn(name, handler); err != nil {
			return w, err
		}
	}
	for i := range centres * modelsEach {
		m := standin.NewModelServer(fmt.Sprintf("model-%d", i), int64(1-i/(centres*modelsEach-1))) // The last one starts empty.
		w.models = append(w.models, m)
		if err := w.standIn(m.ID, m); err != nil {
			return w, err
		}
	}
	for i := range centres {
		d := standin.NewPlainServer(fmt.Sprintf("desk-%d", i))
		w.desks = append(w.desks, d)
		if err := w.standIn(d.ID, d); err != nil {
			return w, err
		}
	}
	w.configure()
	w.announce()
	go w.beat()
	return w, w.startNodes()
}

// standIn serves a handler behind a proxy that takes faults.
func (w *world) standIn(name string, handler http.Handler) error {
	l, err := net.Listen("tcp", w.addrs.Take())
	if err != nil {
		return errors.Wrap(err, "soak: listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(l) }()
	proxy, err := faultproxy.New(w.addrs.Take(), l.Addr().String(), faultproxy.Source{})
	if err != nil {
		return err
	}
	w.proxies[name] = proxy
	return nil
}

// configure writes the next configuration. It has one route whose path names its version.
func (w *world) configure() {
	version := w.config.Add(1)
	route := func(name, prefix, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": "h.example", "prefix": prefix, "route_kind": kind, "timeout_ms": 4000,
			"target_latency_ms": 400, "service": service, "max_attempts": 2}
		for key, value := range extra {
			r[key] = value
		}
		return r
	}
	w.store.Put("op/config", map[string]any{"version": version,
		"routes": []any{
			route("stream", "/stream/", "streaming", "pool", map[string]any{"sticky": true, "resumable": true, "target_gap_ms": 400}),
			route("order", "/order/", "non_idempotent", "desk", map[string]any{"max_attempts": 1}),
			route("look", "/look/", "idempotent", "desk", nil),
			route("newest", fmt.Sprintf("/v%d/", version), "idempotent", "desk", nil)},
		"services": []any{
			map[string]any{"name": "pool", "engine": map[string]any{"slots": 16, "stride": 5, "step_ms": 1, "read_per_s": 100000, "chunk": 2048,
				"layers": standin.Layers, "chunks": standin.Chunks, "usual": map[string]any{"prompt": 100, "answer": 20},
				"models": []any{map[string]any{"name": "m", "warm_s": 0.02}}}},
			map[string]any{"name": "desk"},
			map[string]any{"name": "weights", "origin": w.proxies["origin"].Address(), "zone": zone(0), "link_mbps": 100}},
		"tenants": []any{map[string]any{"name": "t", "api_keys": []string{"k"}}}})
}

// announce writes all servers into the list, as they do themselves.
func (w *world) announce() {
	n := w.beats.Add(1)
	for i, m := range w.models {
		w.store.Put("servers/"+m.ID, m.ServerDocument("pool", w.proxies[m.ID].Address(), zone(i), "ready", n))
	}
	for i, d := range w.desks {
		w.store.Put("servers/"+d.ID, map[string]any{"service": "desk", "address": w.proxies[d.ID].Address(), "zone": zone(i), "state": "ready",
			"slots": 6, "seq": n, "born": 1})
	}
}

func (w *world) beat() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.announce()
		}
	}
}

// startNodes writes the settings and starts entries and agents.
func (w *world) startNodes() error {
	daemon, err := testbed.Daemon()
	if err != nil {
		return err
	}
	seed := w.addrs.Take()
	for i := range centres * entriesEach {
		n := &node{caller: w.addrs.Take(), ready: w.addrs.Take()}
		control := w.addrs.Take()
		if i == 0 {
			control = seed
		}
		listen := fmt.Sprintf("[listen]\nfrontend = %q\nreadiness = %q\ncontrol_plane = %q\n", n.caller, n.ready, control)
		if n.Process, err = w.startNode(daemon, "entry", fmt.Sprintf("edge-%d", i), zone(i), seed, "", listen); err != nil {
			return err
		}
		w.entries = append(w.entries, n)
	}
	for i, m := range w.models {
		app := fmt.Sprintf("app = %q\nservice = \"pool\"\n", w.proxies[m.ID].Address())
		p, err := w.startNode(daemon, "agent", fmt.Sprintf("side-%d", i), zone(i), seed, app, "")
		if err != nil {
			return err
		}
		w.agents = append(w.agents, &node{Process: p})
	}
	return nil
}

func (w *world) startNode(daemon, role, name, zone, seed, app, listen string) (*testbed.Process, error) {
	first, last := w.addrs.Take(), w.addrs.Take()
	ip, port, _ := strings.Cut(first, ":")
	_, lastPort, _ := strings.Cut(last, ":")
	text := fmt.Sprintf("node_name = %q\nip = %q\nzone = %q\nregion = %q\ninternal_ports = [%s, %s]\nseeds = [%q]\n%s", name, ip, zone, zone,
		port, lastPort, seed, app)
	text += listen + fmt.Sprintf("[bounds]\ngrace_s = 3\nversion_ms = %d\nretry_budget_ratio = 0.2\nretry_slack = 200\nbudget_window_s = 10\n"+
		"[platform]\naddress = %q\n", versionMS, w.proxies["store"].Address())
	path := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "soak: settings")
	}
	env := []string{platform.SettingsFileVariable + "=" + path, "PIMENTOHEAD_LINK_SECRET=" + linkSecret}
	p := testbed.NewProcess(name, daemon, []string{"platform", role}, env, filepath.Join(w.dir, name+".log"))
	return p, p.Start()
}

// keepLogs copies the logs to a directory.
func (w *world) keepLogs(directory string) error {
	if err := os.MkdirAll(directory, 0o750); err != nil {
		return errors.Wrap(err, "soak: keep logs")
	}
	return errors.Wrap(os.CopyFS(directory, os.DirFS(w.dir)), "soak: keep logs")
}

func (w *world) close() {
	close(w.stop)
	for _, n := range append(append([]*node(nil), w.entries...), w.agents...) {
		n.Resume()
		n.Kill()
	}
	for _, p := range w.proxies {
		p.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	if w.addrs != nil {
		w.addrs.Release()
	}
	_ = os.RemoveAll(w.dir) // Left-overs are in the system's temporary directory.
}
