//go:build review

// Command harness2 runs the scripted cases of the second independent review. It starts the project's own programs and stand-ins as
// separate processes on loopback addresses and judges only what callers, servers and the store see.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pimentohead/pimentohead/platform/standin"
)

// Ports that are the same on all nodes; each node has a loopback address of its own.
const (
	callerPort, readyPort, controlPort = 8005, 8002, 8000
	firstLinkPort, lastLinkPort        = 7700, 7715
	linkSecret                         = "larkspur-vandhane-links"
	requestHost                        = "h.example"
	apiKey                             = "key-of-t"
)

// lab holds the processes and stand-ins of one run.
type lab struct {
	daemon, dir string
	network     int
	record      *os.File
	started     time.Time
	store       *standin.Store
	storeAddr   string

	mu    sync.Mutex
	procs []*process
	seq   int64
}

// process is a child process.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func newLab(daemon, recordPath string) (*lab, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	l := &lab{daemon: daemon, dir: dir, record: record, started: time.Now(), store: standin.NewStore(), network: 20 + rand.IntN(200)}
	l.storeAddr = l.ip(250) + ":8007"
	return l, l.serve(l.storeAddr, l.store)
}

// ip returns the loopback address of a node or server.
func (l *lab) ip(host int) string { return fmt.Sprintf("127.%d.7.%d", l.network, host) }

// serve starts an HTTP server of a stand-in.
func (l *lab) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// logf writes a line to the record.
func (l *lab) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(l.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.record.WriteString(line)
}

// start starts a child process. The kernel kills it if this process ends.
func (l *lab) start(name, path string, args, env []string) (*process, error) {
	logFile, err := os.OpenFile(filepath.Join(l.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(p.done) }()
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		if !p.ended() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
		}
		<-p.done
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(l.dir))
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// settings returns the settings file of a node, like that of a small deployment.
func (l *lab) settings(name, zone string, host int, seeds, extra, listen string) string {
	return fmt.Sprintf(`node_name = %q
ip = %q
zone = %q
region = "region-a"
internal_ports = [%d,%d]
seeds = [%s]
bootstrap = false
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
%s
[zones]
zone-a = "region-a"
[listen]
%s
[limits]
cpu_quota = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
stretch_max_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 104
recover_s = 12
delivery_lag_ms = 120
version_ms = 8000
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, name, l.ip(host), zone, firstLinkPort, lastLinkPort, seeds, extra, listen, l.storeAddr)
}

// startNode writes the settings file of a node and starts it with the command of the deploy file.
func (l *lab) startNode(role, name string, host int, seeds, extra, listen string) (*process, error) {
	path := filepath.Join(l.dir, name+".toml")
	if err := os.WriteFile(path, []byte(l.settings(name, "zone-a", host, seeds, extra, listen)), 0o600); err != nil {
		return nil, err
	}
	return l.start(name, l.daemon, []string{"platform", role},
		[]string{wire["settings_variable"] + "=" + path, "PIMENTOHEAD_LINK_SECRET=" + linkSecret})
}

// startEntry starts an entry at a host of the network. seed is the host of the entry through which it joins.
func (l *lab) startEntry(host, seed int) (*process, error) {
	ip := l.ip(host)
	listen := fmt.Sprintf("frontend = \"%s:%d\"\nreadiness = \"%s:%d\"\ncontrol_plane = \"%s:%d\"", ip, callerPort, ip, readyPort, ip, controlPort)
	return l.startNode("entry", fmt.Sprintf("entry-%d", host), host, fmt.Sprintf("\"%s:%d\"", l.ip(seed), controlPort),
		"role = \"entry\"\nmachine_class = \"edge\"\nserves = [\"edge\",\"control\"]", listen)
}

// startAgent starts an agent beside the model server at app.
func (l *lab) startAgent(host, seed int, app, service string) (*process, error) {
	return l.startNode("agent", fmt.Sprintf("agent-%d", host), host, fmt.Sprintf("\"%s:%d\"", l.ip(seed), controlPort),
		fmt.Sprintf("role = \"agent\"\nmachine_class = \"side\"\nserves = [\"side\"]\napp = %q\nservice = %q", app, service), "")
}

// callerAddress returns the address at which an entry serves callers.
func (l *lab) callerAddress(host int) string { return fmt.Sprintf("%s:%d", l.ip(host), callerPort) }

// awaitReady waits until the entry answers its readiness check with 200.
func (l *lab) awaitReady(host int, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", l.ip(host), readyPort, wire["ready_path"]))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry at host %d is not ready after %v", host, limit)
}

// announce writes the entry of a plain server to the list of servers, as the server does itself.
func (l *lab) announce(id, service, address, state string, born int64) {
	l.mu.Lock()
	l.seq++
	seq := l.seq
	l.mu.Unlock()
	l.store.Put("servers/"+id, map[string]any{"service": service, "address": address, "zone": "zone-a", "version": "1", "slots": 6,
		"state": state, "cold_left_ms": 0, "seq": seq, "born": born})
}
