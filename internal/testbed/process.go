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

// logTailLines is the number of lines that LogTail returns.
const logTailLines = 20

// startQueue returns a channel of functions that run on one OS thread, which lives as long as this process. Linux sends the
// parent-death signal to a child when the thread that started it ends, so children must not be started on a short-lived thread.
var startQueue = sync.OnceValue(func() chan<- func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range queue {
			start()
		}
	}()
	return queue
})

// Process is a program that runs as a child process. It can be started again after it has exited. It is safe for concurrent use.
type Process struct {
	// Name identifies the process in error messages.
	Name string
	path string
	args []string
	// env is added to the environment of the current process.
	env []string
	// logPath is the file to which standard output and standard error are appended.
	logPath string

	// mu guards cmd, ended and paused.
	mu sync.Mutex
	// cmd is the current or last run, nil before the first start.
	cmd *exec.Cmd
	// ended is closed when the run of cmd has ended.
	ended  chan struct{}
	paused bool
}

// NewProcess returns a process that is not started yet. env is added to the environment of the current process. The output is
// appended to the file logPath.
func NewProcess(name, path string, args, env []string, logPath string) *Process {
	return &Process{Name: name, path: path, args: args, env: env, logPath: logPath}
}

// Start starts the process. It returns an error if the process is running. The kernel kills the process when this one exits.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Newf("testbed: %s is already running", p.Name)
	}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "testbed: open the log")
	}
	defer func() { _ = logFile.Close() }() // The child has its own file descriptor.
	cmd := exec.Command(p.path, p.args...) //nolint:gosec // the path is that of a program under test
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	startQueue() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return errors.Wrapf(err, "testbed: start %s", p.Name)
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.paused = cmd, ended, false
	go func() {
		_ = cmd.Wait() // ExitCode reads the status from ProcessState.
		close(ended)
	}()
	return nil
}

// running reports whether the process was started and has not ended. The caller must hold mu.
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

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// Ended returns a channel that is closed when the current run has ended. It is nil before the first start.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// ExitCode returns the exit code of the last run, or -1 if a signal ended it, it has not ended or there was none.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.running() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// PID returns the process ID of the last run, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Kill sends SIGKILL and waits until the process has ended. It does nothing if the process is not running.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) {
		<-p.Ended()
	}
}

// Stop resumes the process if it is paused, sends SIGTERM and waits until it has ended. It returns an error if the process is not
// running or if its exit code is not 0. After timeout it kills the process and returns an error.
func (p *Process) Stop(timeout time.Duration) error {
	p.Resume()
	if !p.Signal(syscall.SIGTERM) {
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

// Reload sends SIGHUP, which tells the process that its settings file has changed.
func (p *Process) Reload() { p.Signal(syscall.SIGHUP) }

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() {
	p.Signal(syscall.SIGSTOP)
	p.setPaused(true)
}

// Resume continues a paused process with SIGCONT. It does nothing if the process is not paused.
func (p *Process) Resume() {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused {
		p.Signal(syscall.SIGCONT)
		p.setPaused(false)
	}
}

func (p *Process) setPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
}

// Signal sends a signal to the process. It reports whether the process was running and the signal was sent.
func (p *Process) Signal(signal syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running() && p.cmd.Process.Signal(signal) == nil
}

// Log returns the output of all runs, or an empty string if the file cannot be read.
func (p *Process) Log() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	return string(text)
}

// LogTail returns the last logTailLines lines of the log.
func (p *Process) LogTail() string {
	lines := strings.Split(strings.TrimRight(p.Log(), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}
