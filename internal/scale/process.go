package scale

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"honeylock/internal/exactjson"
)

// Role is the role of a child process in a run.
type Role string

// The roles of child processes.
const (
	RoleController Role = "controller"
	RoleHollow     Role = "hollow workers"
	RoleWorld      Role = "users, state service and cloud"
)

// process is a child process that this run has started. It is signalled only through its own process ID.
type process struct {
	role    Role
	region  int
	name    string
	args    []string
	cmd     *exec.Cmd
	stdin   io.Closer
	stdout  io.ReadCloser
	exited  chan struct{} // closed after the process has been waited for
	exitErr error         // result of the wait; valid once exited is closed

	mu            sync.Mutex
	stopRequested bool // kill or stop was called
	lastLines     []string
}

// keptLogLines is the number of last log lines of a child that the error for an unexpected exit contains.
const keptLogLines = 15

// starter starts all child processes from one locked OS thread. The children have a parent death signal, so they are
// killed if this process dies without stopping them. The kernel sends that signal when the thread that started the
// child exits, so the thread must live as long as this process.
type starter struct {
	calls chan func()
}

// newStarter starts the thread. It ends when calls is closed.
func newStarter() *starter {
	s := &starter{calls: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.calls {
			f()
		}
	}()
	return s
}

// callOnThread runs a function on the starter's thread and returns its error.
func (s *starter) callOnThread(call func() error) error {
	done := make(chan error)
	s.calls <- func() { done <- call() }
	return <-done
}

// start starts a command as a child process. The caller must read its standard output.
func (s *starter) start(role Role, region int, name, binary string, args, env []string) (*process, error) {
	p := &process{role: role, region: region, name: name, args: args, exited: make(chan struct{})}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = env
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdin, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p.stdin = stdin
	if p.stdout, err = p.cmd.StdoutPipe(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	if err := s.callOnThread(p.cmd.Start); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go p.collectLog(stderr)
	return p, nil
}

// collectLog keeps the last lines of a child's log and waits for the child to exit.
func (p *process) collectLog(stderr io.Reader) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(make([]byte, 4<<10), 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		p.lastLines = append(p.lastLines, lines.Text())
		p.lastLines = p.lastLines[max(0, len(p.lastLines)-keptLogLines):]
		p.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, stderr) // the scanner stops at a line that is too long; read on so the child does not block
	p.exitErr = p.cmd.Wait()
	close(p.exited)
}

// pid returns the child's process ID.
func (p *process) pid() int { return p.cmd.Process.Pid }

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.mu.Lock()
	p.stopRequested = true
	p.mu.Unlock()
	_ = p.cmd.Process.Kill() // fails if the process has already exited
	<-p.exited
}

// stop closes the child's standard input, at which hollow and world processes exit, and kills the child if it is
// still running after stopTimeout.
func (p *process) stop() {
	p.mu.Lock()
	p.stopRequested = true
	p.mu.Unlock()
	_ = p.stdin.Close()
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.kill()
	}
}

// stopTimeout is the time that a child has to exit before it is killed.
const stopTimeout = 5 * time.Second

// unexpectedExit returns an error if the process has exited without a call of kill or stop, else nil.
func (p *process) unexpectedExit() error {
	select {
	case <-p.exited:
	default:
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopRequested {
		return nil
	}
	return fmt.Errorf("%s exited unexpectedly: %w; last log lines:\n%s", p.name, exitReason(p.exitErr),
		strings.Join(p.lastLines, "\n"))
}

// errExitZero stands for an exit without an error.
var errExitZero = errors.New("exit status 0")

// exitReason returns err, or errExitZero if there is none.
func exitReason(err error) error {
	if err == nil {
		return errExitZero
	}
	return err
}

// awaitReady waits for the ReadyMessage on the child's standard output.
func (p *process) awaitReady() (ReadyMessage, error) {
	type announcement struct {
		ready ReadyMessage
		err   error
	}
	announced := make(chan announcement, 1)
	go func() {
		var a announcement
		a.err = exactjson.Decode(p.stdout, &a.ready)
		announced <- a
	}()
	select {
	case a := <-announced:
		if a.err != nil {
			<-p.exited
			return ReadyMessage{}, errors.Join(fmt.Errorf("%s failed to start: %w", p.name, a.err), p.unexpectedExit())
		}
		return a.ready, nil
	case <-time.After(readyTimeout):
		return ReadyMessage{}, fmt.Errorf("%s is not ready after %v", p.name, readyTimeout)
	}
}

// readyTimeout is the time that a child has to become ready.
const readyTimeout = 30 * time.Second
