//go:build review

// Command harness runs the cases of the review that are no days of the bench: it starts the processes of the deploy file on loopback
// addresses against stand-ins of the store, the origin and the servers, disturbs them and checks one rule.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// heartbeat is the time between the writes with which servers announce themselves.
const heartbeat = 1200 * time.Millisecond

// linkSecret is the value in the deploy file.
const linkSecret = "larkspur-vandhane-links"

// process is one process of the deploy file.
type process struct {
	name, role, settings string
	frontend, readiness  string
	store                *storeProxy
	cmd                  *exec.Cmd
	ended                chan struct{}
	// isToEnd is set once the process has been told to end.
	isToEnd atomic.Bool
}

// fleet is a small deployment.
type fleet struct {
	dir, root string
	// ports are held by listeners until they are used.
	ports      map[string]net.Listener
	store      *standin.Store
	storeAddr  string
	origin     *origin
	originAddr string
	models     []*standin.ModelServer
	modelAddrs []string
	desks      []*desk
	// seeds are the addresses in the settings of all processes.
	seeds   []string
	entries []*process
	agents  []*process
	// beats counts the announcements of the model servers, announced holds the last one of each without seq.
	beats     int64
	announced map[string]string
	stop      chan struct{}
	closing   sync.Once
	record    *record
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Ports are taken from below those that the kernel gives to outgoing connections: such a connection could take a port that was released for a process.
const firstPort, portCount = 12000, 18000

// address returns a free loopback address.
func (f *fleet) address() string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if l, err := net.Listen("tcp", address); err == nil {
			f.ports[address] = l
			return address
		}
	}
	cannotRun(fmt.Errorf("no free port"))
	return ""
}

// portPair returns two free ports in ascending order.
func (f *fleet) portPair() [2]int {
	var ports [2]int
	for i := range ports {
		_, port, _ := strings.Cut(f.address(), ":")
		ports[i], _ = strconv.Atoi(port)
	}
	return [2]int{min(ports[0], ports[1]), max(ports[0], ports[1])}
}

// release frees an address for the process that will listen there.
func (f *fleet) release(address string) {
	if l := f.ports[address]; l != nil {
		_ = l.Close()
		delete(f.ports, address)
	}
}

// serve serves a handler on a free loopback address.
func (f *fleet) serve(h http.Handler) string {
	l := f.listen()
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// listen returns a listener on a free loopback address.
func (f *fleet) listen() net.Listener {
	address := f.address()
	l := f.ports[address]
	delete(f.ports, address)
	return l
}

// originZone is the zone of the origin of weights.
const originZone = "zone-a"

// fleetShape is the size of a deployment. Its entries, and its model servers, are spread over the zones named in turn.
type fleetShape struct {
	entryZones, modelZones []string
	entries, models        int
	// desks are servers of the service "desk", with slots, a queue and the time that a request takes.
	desks, deskSlots, deskQueue int
	deskWork                    time.Duration
}

func (s fleetShape) entryZone(i int) string { return s.entryZones[i%len(s.entryZones)] }
func (s fleetShape) modelZone(i int) string { return s.modelZones[i%len(s.modelZones)] }

// newFleet starts the stand-ins and the processes of a deployment whose servers hold version 1.
func newFleet(shape fleetShape, rec *record) *fleet {
	root, err := os.Getwd()
	if err != nil {
		cannotRun(err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun(err)
	}
	f := &fleet{dir: dir, root: root, ports: map[string]net.Listener{}, store: standin.NewStore(), origin: &origin{}, announced: map[string]string{},
		stop: make(chan struct{}), record: rec}
	f.origin.record = rec
	cleanUp = f.close
	f.storeAddr, f.originAddr = f.serve(f.store), f.serve(f.origin)
	for i := range shape.models {
		m := standin.NewModelServer(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), 1)
		m.EventCount, m.EventInterval, m.LoadTime = 10, 20*time.Millisecond, 300*time.Millisecond
		f.models, f.modelAddrs = append(f.models, m), append(f.modelAddrs, f.serve(m))
	}
	for i := range shape.desks {
		d := &desk{id: fmt.Sprintf("i-%08x", 0x3b51d0a0+i), record: rec, slots: shape.deskSlots, queue: shape.deskQueue, work: shape.deskWork}
		d.address = f.serve(d)
		f.desks = append(f.desks, d)
		f.announceDesk(d, "ready")
	}
	f.announce(shape)
	go func() {
		for {
			select {
			case <-f.stop:
				return
			case <-time.After(heartbeat):
				f.announce(shape)
			}
		}
	}()
	f.store.Put("op/config", f.config(3, "key-1", "key-2"))
	for i := range shape.entries {
		p := &process{name: fmt.Sprintf("edge-%s-%d", shape.entryZone(i), i), role: "entry", frontend: f.address(), readiness: f.address()}
		control := f.address()
		if len(f.seeds) < 3 {
			f.seeds = append(f.seeds, control)
		}
		p.settings = fmt.Sprintf("serves = [\"edge\",\"control\"]\nzone = %q\n[listen]\nfrontend = %q\nreadiness = %q\ncontrol_plane = %q\n", shape.entryZone(i), p.frontend, p.readiness, control)
		f.entries = append(f.entries, p)
	}
	for i := range shape.models {
		f.agents = append(f.agents, agentOf(fmt.Sprintf("side-%s-%d", shape.modelZone(i), i), f.modelAddrs[i], shape.modelZone(i)))
	}
	for _, p := range f.processes() {
		f.complete(p)
		f.writeSettings(p, true)
		f.start(p)
	}
	return f
}

// agentOf returns the process beside a model server, without the settings that all processes have.
func agentOf(name, modelAddress, zone string) *process {
	return &process{name: name, role: "agent",
		settings: fmt.Sprintf("serves = [\"side\"]\napp = %q\nservice = \"pool\"\nzone = %q\n[listen]\n", modelAddress, zone)}
}

// addAgent adds the process beside a model server that is added later. It is not started yet.
func (f *fleet) addAgent(name, modelAddress string) *process {
	p := agentOf(name, modelAddress, originZone)
	f.complete(p)
	f.writeSettings(p, false)
	f.agents = append(f.agents, p)
	return p
}

func (f *fleet) processes() []*process {
	return append(append([]*process(nil), f.entries...), f.agents...)
}

// complete adds the settings that all processes have.
func (f *fleet) complete(p *process) {
	ports := f.portPair()
	p.store = newStoreProxy(f.listen(), f.storeAddr, f.record)
	memory := map[string]int{"entry": 284, "agent": 152}[p.role]
	p.settings = fmt.Sprintf("node_name = %q\nrole = %q\nip = \"127.0.0.1\"\nregion = \"saskatoon\"\ninternal_ports = [%d,%d]\nseeds = [\"%s\"]\nbootstrap = BOOTSTRAP\n"+
		"fault_counted = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n", p.name, p.role, ports[0], ports[1], strings.Join(f.seeds, `","`)) +
		p.settings + fmt.Sprintf(`[zones]
zone-a = "saskatoon"
zone-b = "saskatoon"
[limits]
cores = 1
memory_mb = %d
max_fds = 4100
[bounds]
drain_ms = 2000
contact_ms = 3000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 104
recover_s = 12
version_ms = 8000
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, memory, p.store.address)
}

// writeSettings writes the settings file of a process. bootstrap is set when the whole system starts for the first time.
func (f *fleet) writeSettings(p *process, bootstrap bool) {
	text := strings.Replace(p.settings, "BOOTSTRAP", fmt.Sprint(bootstrap), 1)
	if err := os.WriteFile(f.settingsPath(p), []byte(text), 0o600); err != nil {
		cannotRun(err)
	}
}

func (f *fleet) settingsPath(p *process) string { return filepath.Join(f.dir, p.name+".toml") }

// start starts a process with the command of the deploy file.
func (f *fleet) start(p *process) {
	for _, line := range strings.Split(p.settings, "\n") {
		for address := range f.ports {
			_, port, _ := strings.Cut(address, ":")
			if strings.Contains(line, address) && !strings.HasPrefix(line, "seeds") || strings.HasPrefix(line, "internal_ports") && strings.Contains(line, port) {
				f.release(address)
			}
		}
	}
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(f.root, "target", "pimentoheadd"), "platform", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire["settings_variable"] + "=" + f.settingsPath(p),
		"PIMENTOHEAD_LINK_SECRET=" + linkSecret}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun(err)
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	p.isToEnd.Store(false)
	go func(ended chan struct{}) {
		err := cmd.Wait()
		close(ended)
		if !p.isToEnd.Load() {
			cannotRun(fmt.Errorf("%s has ended by itself: %w", p.name, err))
		}
	}(p.ended)
	f.record.printf("%s starts, process %d", p.name, cmd.Process.Pid)
}

// signal sends a signal to a process.
func (f *fleet) signal(p *process, s syscall.Signal) {
	p.isToEnd.Store(s == syscall.SIGKILL || s == syscall.SIGTERM)
	f.record.printf("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill kills a process and waits for its end.
func (f *fleet) kill(p *process) {
	f.signal(p, syscall.SIGKILL)
	<-p.ended
}

// announce writes the entries of the model servers, as the servers do themselves. An entry changes only when more than seq changes.
func (f *fleet) announce(shape fleetShape) {
	f.beats++
	for i, m := range f.models {
		document := m.ServerDocument("pool", f.modelAddrs[i], shape.modelZone(i), "ready", 0)
		state := fmt.Sprint(document)
		if state == f.announced[m.ID] {
			continue
		}
		f.announced[m.ID] = state
		document["seq"] = f.beats
		f.store.Put("servers/"+m.ID, document)
	}
}

// config returns a version of the operator's configuration, with the API keys of the tenant.
func (f *fleet) config(version int, keys ...string) map[string]any {
	return map[string]any{"version": version,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"routes": []any{map[string]any{"name": "r-quote", "host": "quote.example", "prefix": "/quote/", "route_kind": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 400, "target_gap_ms": 400, "priority": 0, "service": "pool", "max_attempts": 2, "sticky": true, "resumable": true},
			map[string]any{"name": "r-stock", "host": "stock.example", "prefix": "/stock/", "route_kind": "idempotent", "timeout_ms": 1000,
				"target_latency_ms": 150, "priority": 0, "service": "desk", "max_attempts": 2},
			map[string]any{"name": "r-order", "host": "order.example", "prefix": "/order/", "route_kind": "non_idempotent", "timeout_ms": 6000,
				"target_latency_ms": 1000, "priority": 0, "service": "desk", "max_attempts": 1}},
		"services": []any{
			map[string]any{"name": "pool", "max_conns": 434, "engine": map[string]any{"slots": 16, "stride": 5, "step_ms": 1, "read_per_s": 100000,
				"chunk": 2048, "layers": standin.Layers, "chunks": standin.Chunks, "chunk_bytes": standin.ChunkBytes,
				"kv_capacity": 1180000, "usual": map[string]any{"prompt": 100, "answer": 20}, "models": []any{map[string]any{"name": "m", "warm_s": 0.3}}}},
			map[string]any{"name": "desk", "max_conns": 110},
			map[string]any{"name": "weights", "origin": f.originAddr, "zone": originZone, "link_mbps": 15, "max_conns": 48}},
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": keys}}}
}

// close ends all processes that the fleet started and removes its folder.
func (f *fleet) close() {
	f.closing.Do(func() { close(f.stop) })
	for _, p := range f.processes() {
		if p.ended != nil {
			p.isToEnd.Store(true)
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir))
	}
	_ = os.RemoveAll(f.dir)
}
