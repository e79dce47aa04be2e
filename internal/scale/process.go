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
	role   Role
	region int
	name   string
	args   []string
	cmd    *exec.Cmd
	stdin  io.Closer
	stdout io.ReadCloser
	ended  chan struct{} // closed once it has been waited for
	err    error         // how it ended

	mu     sync.Mutex
	wanted bool // it was told to end
	last   []string
}

// keptLines of a child's log are told if it ends by itself.
const keptLines = 15

// starter starts children from one thread, for which they are killed should this process
// end without ending them: the kernel ties that to the thread that started them.
type starter struct {
	work chan func()
}

func newStarter() *starter {
	s := &starter{work: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.work {
			f()
		}
	}()
	return s
}

func (s *starter) do(f func() error) error {
	done := make(chan error)
	s.work <- func() { done <- f() }
	return <-done
}

// start runs a command; its standard output is the caller's to read.
func (s *starter) start(role Role, region int, name, binary string, args, env []string) (*process, error) {
	p := &process{role: role, region: region, name: name, args: args, ended: make(chan struct{})}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = env
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p.stdin = in
	if p.stdout, err = p.cmd.StdoutPipe(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	if err := s.do(p.cmd.Start); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go p.follow(log)
	return p, nil
}

// follow keeps the last lines of a child's log, and waits for its end.
func (p *process) follow(log io.Reader) {
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 4<<10), 1<<20)
	for lines.Scan() {
		p.mu.Lock()
		p.last = append(p.last, lines.Text())
		p.last = p.last[max(0, len(p.last)-keptLines):]
		p.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, log) // after a line that was too long
	p.err = p.cmd.Wait()
	close(p.ended)
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// kill ends the process at once.
func (p *process) kill() {
	p.mu.Lock()
	p.wanted = true
	p.mu.Unlock()
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.ended
}

// stop has a child that follows its standard input end, and kills it if it does not.
func (p *process) stop() {
	p.mu.Lock()
	p.wanted = true
	p.mu.Unlock()
	_ = p.stdin.Close()
	select {
	case <-p.ended:
	case <-time.After(stopPatience):
		p.kill()
	}
}

// stopPatience is how long a child may take to end.
const stopPatience = 5 * time.Second

// crashed tells how the process ended, if it was not told to.
func (p *process) crashed() error {
	select {
	case <-p.ended:
	default:
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted {
		return nil
	}
	return fmt.Errorf("%s ended by itself: %w; its last lines:\n%s", p.name, orExit(p.err), strings.Join(p.last, "\n"))
}

var errExit = errors.New("exit status 0")

func orExit(err error) error {
	if err == nil {
		return errExit
	}
	return err
}

// ready waits for a child's announcement.
func (p *process) ready() (Ready, error) {
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
			<-p.ended
			return Ready{}, errors.Join(fmt.Errorf("%s did not begin: %w", p.name, a.err), p.crashed())
		}
		return a.ready, nil
	case <-time.After(readyPatience):
		return Ready{}, fmt.Errorf("%s does not serve after %v", p.name, readyPatience)
	}
}

// readyPatience is how long a child may take to serve.
const readyPatience = 30 * time.Second
