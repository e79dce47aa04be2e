package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Role of a process of a run.
type Role string

// Roles.
const (
	RoleController Role = "controller"
	RoleHollow     Role = "hollow workers"
	RoleWorld      Role = "users, state service and cloud"
)

// process is a child that this run has started. It is ended by its id, and by nothing else.
type process struct {
	role    Role
	region  int
	name    string
	args    []string
	cmd     *exec.Cmd
	stdin   io.Closer
	stdout  io.ReadCloser
	exited  chan struct{} // closed once it has been waited for
	exitErr error         // how it ended

	mu            sync.Mutex
	stopRequested bool // it was told to end
	lastLines     []string
}

// keptLogLines of a child's log are told if it ends by itself.
const keptLogLines = 15

// starter starts children from one thread, for which they are killed should this process
// end without ending them: the kernel ties that to the thread that started them.
type starter struct {
	calls chan func()
}

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

func (s *starter) callOnThread(call func() error) error {
	done := make(chan error)
	s.calls <- func() { done <- call() }
	return <-done
}

// start runs a command; its standard output is the caller's to read.
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

// collectLog keeps the last lines of a child's log, and waits for its end.
func (p *process) collectLog(stderr io.Reader) {
	lines := bufio.NewScanner(stderr)
	lines.Buffer(make([]byte, 4<<10), 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		p.lastLines = append(p.lastLines, lines.Text())
		p.lastLines = p.lastLines[max(0, len(p.lastLines)-keptLogLines):]
		p.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, stderr) // after a line that was too long
	p.exitErr = p.cmd.Wait()
	close(p.exited)
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// kill ends the process at once.
func (p *process) kill() {
	p.mu.Lock()
	p.stopRequested = true
	p.mu.Unlock()
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.exited
}

// stop has a child that follows its standard input end, and kills it if it does not.
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

// stopTimeout is how long a child may take to end.
const stopTimeout = 5 * time.Second

// unexpectedExit tells how the process ended, if it was not told to.
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
	return fmt.Errorf("%s ended by itself: %w; its last lines:\n%s", p.name, exitReason(p.exitErr), strings.Join(p.lastLines, "\n"))
}

var errExitZero = errors.New("exit status 0")

func exitReason(err error) error {
	if err == nil {
		return errExitZero
	}
	return err
}

// awaitReady waits for a child's announcement.
func (p *process) awaitReady() (Ready, error) {
	type announcement struct {
		ready Ready
		err   error
	}
	announced := make(chan announcement, 1)
	go func() {
		var a announcement
		a.err = json.NewDecoder(p.stdout).Decode(&a.ready)
		announced <- a
	}()
	select {
	case a := <-announced:
		if a.err != nil {
			<-p.exited
			return Ready{}, errors.Join(fmt.Errorf("%s did not begin: %w", p.name, a.err), p.unexpectedExit())
		}
		return a.ready, nil
	case <-time.After(readyTimeout):
		return Ready{}, fmt.Errorf("%s does not serve after %v", p.name, readyTimeout)
	}
}

// readyTimeout is how long a child may take to serve.
const readyTimeout = 30 * time.Second
