package testbed

import (
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// logTailLines is the number of last log lines printed for a process when a test has failed.
const logTailLines = 20

// launches runs functions on one thread that lives as long as this process: Linux sends the parent-death signal when the thread
// that started a child ends.
var launches = sync.OnceValue(func() chan<- func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for launch := range queue {
			launch()
		}
	}()
	return queue
})

// Process is one started program. It can be started again after it has ended.
type Process struct {
	Name string
	path string
	args []string
	// env is added to the environment of this process.
	env []string
	log string

	// mu guards cmd, ended and paused.
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	paused bool
}

// NewProcess describes a program that is not started yet. env is added to the environment; log is the file for its output.
func NewProcess(name, path string, args, env []string, log string) *Process {
	return &Process{Name: name, path: path, args: args, env: env, log: log}
}

// Start starts the process; it must not be running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Newf("testbed: %s is running", p.Name)
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "testbed")
	}
	defer func() { _ = log.Close() }()     // The child has its own descriptor.
	cmd := exec.Command(p.path, p.args...) //nolint:gosec // a program that was built here
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	launches() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return errors.Wrapf(err, "testbed: start %s", p.Name)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.paused = cmd, ended, false
	go func() {
		_ = cmd.Wait() // The exit status is read from ProcessState.
		close(ended)
	}()
	return nil
}

// running tells whether the process was started and has not ended. The caller holds mu.
func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Running tells whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// Ended is closed when the current run has ended. It is nil before the first start.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// ExitCode returns the exit code of the last run, -1 when it was ended by a signal or has not ended.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.running() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// PID returns the process ID of the last run, 0 before the first.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Kill ends the process with SIGKILL and waits for it.
func (p *Process) Kill() {
	if p.signal(syscall.SIGKILL) {
		<-p.Ended()
	}
}

// Stop sends SIGTERM and waits for the end. After timeout it kills the process and returns an error, as it does for an exit
// code other than 0.
func (p *Process) Stop(timeout time.Duration) error {
	p.Resume()
	if !p.signal(syscall.SIGTERM) {
		return errors.Newf("testbed: %s is not running", p.Name)
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-p.Ended():
	case <-timer.C:
		p.Kill()
		return errors.Newf("testbed: %s did not stop within %s", p.Name, timeout)
	}
	if code := p.ExitCode(); code != 0 {
		return errors.Newf("testbed: %s stopped with exit code %d", p.Name, code)
	}
	return nil
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)
	p.setPaused(true)
}

// Resume continues a paused process.
func (p *Process) Resume() {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused {
		p.signal(syscall.SIGCONT)
		p.setPaused(false)
	}
}

func (p *Process) setPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
}

// signal sends a signal to the process. It returns false when the process is not running.
func (p *Process) signal(signal syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running() && p.cmd.Process.Signal(signal) == nil
}

// Log returns everything that the process has written.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return ""
	}
	return string(text)
}

// LogTail returns the last lines of the log.
func (p *Process) LogTail() string {
	lines := strings.Split(strings.TrimRight(p.Log(), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}
