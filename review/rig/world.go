// Command rig runs one case of the review: it starts controllers as separate processes with the
// command of the deploy file, stand-ins of the state service, the cloud and the machines, and plays
// users. It writes a record and exits with 1 if the rule was broken, 0 if it held, 2 if the case could
// not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"honeylock/internal/standin"
)

type object = map[string]any

// site is the settings of a deployment, as on the page of the deployment.
type site struct {
	zones                        []string
	controllers                  int
	reportS, leaseS, cancelS     float64
	rps, writeRPS, valueKB       float64
	txnOps                       int
	cloudRPS, listLagS           float64
	cpu, memMB                   float64
	fdLimit                      int
	teams, objectives            string // TOML
	types                        []standin.MachineType
	limitCPUs                    map[string]float64
	listedAfterLoss, listLagTime time.Duration
}

// controller is one controller's process.
type controller struct {
	host, bind, config string
	cmd                *exec.Cmd
	log                *os.File
}

// world is a running deployment.
type world struct {
	site        *site
	dir         string
	run         []string
	begun       time.Time
	store       *standin.Store
	cloud       *standin.Cloud
	tasks       *standin.TaskRegistry
	controllers []*controller
	mu          sync.Mutex
	record      *os.File
	submitted   map[string][]byte
	firstHost   func(numbered int) int // index of the controller to which a machine reports first; nil: any
	hosts       []standin.Host
	workers     map[string]*standin.Worker
	endpoints   map[string]*standin.StoreEndpoint // at which each controller reaches the state service
	interesting map[string]bool                   // jobs whose runs are all noted
}

// Boot starts a machine, for the cloud.
func (w *world) Boot(m standin.MachineSpec) (string, error) {
	if w.firstHost != nil {
		m.First = w.firstHost(m.First)
	}
	worker, err := standin.StartWorker(m, standin.Timing{Report: seconds(w.site.reportS), Lease: seconds(w.site.leaseS)},
		w.tasks, w.hosts)
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[m.Name] = worker
	return worker.Addr(), nil
}

// End stops a machine, for the cloud.
func (w *world) End(name string) {
	w.mu.Lock()
	worker := w.workers[name]
	delete(w.workers, name)
	w.mu.Unlock()
	if worker != nil {
		worker.Kill()
	}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7.2f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// deployRun returns the command of the deploy file.
func deployRun() ([]string, error) {
	b, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(b)
	if m == nil {
		return nil, errors.New("deploy/service.toml has no run command")
	}
	return strings.Fields(string(m[1])), nil
}

// newWorld prepares a deployment. stateAddr returns the address at which a controller reaches the state
// service.
func newWorld(s *site, recordPath string, stateAddr func(w *world, host string) (string, error)) (*world, error) {
	run, err := deployRun()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{site: s, dir: dir, run: run, begun: time.Now(), record: record, submitted: map[string][]byte{},
		workers: map[string]*standin.Worker{}, endpoints: map[string]*standin.StoreEndpoint{},
		store: standin.NewStore(standin.StoreLimits{RPS: s.rps, WriteRPS: s.writeRPS, ValueKB: s.valueKB, TxnOps: s.txnOps}),
		tasks: standin.NewTaskRegistry()}
	w.tasks.LimitCPUs = s.limitCPUs
	w.tasks.FindJob = func(name string) []byte {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.submitted[name]
	}
	peers := make([]string, s.controllers)
	for i := range s.controllers {
		c := &controller{host: fmt.Sprintf("hive-%d", i)}
		if c.bind, err = freeAddr(); err != nil {
			return w, err
		}
		if peers[i], err = freeAddr(); err != nil {
			return w, err
		}
		w.controllers = append(w.controllers, c)
		w.hosts = append(w.hosts, standin.Host{Name: c.host, Addr: c.bind})
	}
	if w.cloud, err = standin.NewCloud(standin.CloudParams{Types: s.types, ListLag: s.listLagTime,
		ListedAfterLoss: s.listedAfterLoss, RPS: s.cloudRPS,
		Timing: standin.Timing{Report: seconds(s.reportS), Lease: seconds(s.leaseS)}, Runner: w}, w.tasks, w.hosts,
		rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))); err != nil {
		return w, err
	}
	for i, c := range w.controllers {
		state, err := stateAddr(w, c.host)
		if err != nil {
			return w, err
		}
		var b strings.Builder
		fmt.Fprintf(&b, "host_name = %q\nzone = %q\nbind = %q\npeer_listen = %q\n", c.host, s.zones[i%len(s.zones)],
			c.bind, peers[i])
		for j, other := range w.controllers {
			if other != c {
				fmt.Fprintf(&b, "[[siblings]]\nhost_name = %q\nzone = %q\naddress = %q\n", other.host,
					s.zones[j%len(s.zones)], peers[j])
			}
		}
		fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n", w.cloud.Addr(), state)
		zones, _ := json.Marshal(s.zones)
		fmt.Fprintf(&b, "[cluster]\ninitial_size = %d\nzones = %s\nskew_ms = 1000.0\n%s%s", s.controllers, zones, s.teams,
			s.objectives)
		fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 6.0\n"+
			"cancel_s = %.1f\n", s.reportS, s.leaseS, s.cancelS)
		fmt.Fprintf(&b, "[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.rps, s.writeRPS,
			s.valueKB, s.txnOps)
		fmt.Fprintf(&b, "[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", s.cloudRPS, s.listLagS)
		fmt.Fprintf(&b, "[cluster.resources]\ncpu = %.2f\nmem_mb = %.1f\nfd_limit = %d\n", s.cpu, s.memMB, s.fdLimit)
		c.config = filepath.Join(dir, c.host+".toml")
		if err := os.WriteFile(c.config, []byte(b.String()), 0o600); err != nil {
			return w, err
		}
	}
	return w, nil
}

// directState gives each controller an endpoint of its own at the state service.
func directState(w *world, host string) (string, error) {
	e, err := w.store.NewEndpoint()
	if err != nil {
		return "", err
	}
	w.endpoints[host] = e
	return e.Addr, nil
}

// freeAddr returns a free address for a controller, on a loopback address that only this process uses: several
// of them may run side by side.
func freeAddr() (string, error) {
	pid := os.Getpid()
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.1:0", 1+pid/250%250, 1+pid%250))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// start starts a controller's process.
func (w *world) start(c *controller) error {
	log, err := os.OpenFile(filepath.Join(w.dir, c.host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.log = log
	c.cmd = exec.Command(w.run[0], append(append([]string{}, w.run[1:]...), c.config)...)
	c.cmd.Stderr = log
	level := os.Getenv("LOG_LEVEL")
	if level == "" {
		level = "info"
	}
	c.cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return err
	}
	w.note("%s started", c.host)
	return nil
}

// kill ends a controller's process without a warning.
func (w *world) kill(c *controller) {
	if c.cmd == nil {
		return
	}
	_ = c.cmd.Process.Signal(syscall.SIGCONT)
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
	_ = c.log.Close()
	c.cmd = nil
	w.note("%s killed", c.host)
}

// startAll starts all controllers.
func (w *world) startAll() error {
	for _, c := range w.controllers {
		if err := w.start(c); err != nil {
			return err
		}
	}
	return nil
}

// noteRuns writes to the record what has run on the machines: each run of the jobs of interest (all jobs if
// there are few runs), and the numbers of the others.
func (w *world) noteRuns() {
	runs := w.tasks.Runs()
	counts := map[string]int{}
	for _, r := range runs {
		name, _, _ := strings.Cut(r.Task, "/")
		counts[name+" "+r.Cause]++
		if len(runs) > 200 && !w.interesting[name] {
			continue
		}
		end := "runs"
		if !r.EndedAt.IsZero() {
			end = fmt.Sprintf("ended at %.2f: %s", r.EndedAt.Sub(w.begun).Seconds(), r.Cause)
		}
		w.note("run: %s attempt %d on %s, started at %.2f, %s", r.Task, r.Attempt, r.Machine,
			r.StartedAt.Sub(w.begun).Seconds(), end)
	}
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		w.note("runs of %s: %d", key, counts[key])
	}
	for _, v := range w.tasks.Violations() {
		w.note("stand-ins saw: %s", v)
	}
}

// close ends everything that was started.
func (w *world) close() {
	for _, c := range w.controllers {
		w.kill(c)
	}
	w.mu.Lock()
	names := slices.Collect(maps.Keys(w.workers))
	w.mu.Unlock()
	for _, name := range names {
		w.End(name)
	}
	if w.cloud != nil {
		w.cloud.Close()
	}
	w.store.Close()
	_ = w.record.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// call sends a user's request and returns the status, 0 without an answer, and the answer.
func (w *world) call(c *controller, method, path string, body []byte, timeout time.Duration) (int, object) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.bind+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Close = true
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	var v object
	_ = json.Unmarshal(b, &v)
	return res.StatusCode, v
}

// submit submits a job, as its user does: it retries for up to 60 s. It returns the status and the
// stage of the answer that ended it.
func (w *world) submit(c *controller, job object) (int, string) {
	body, _ := json.Marshal(job)
	name := job["NameId"].(string)
	w.mu.Lock()
	w.submitted[name] = body // users upload the description, which workers fetch
	w.mu.Unlock()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		status, v := w.call(c, http.MethodPost, "/v1/jobs", body, 5*time.Second)
		w.note("submit %s at %s: %d %v", name, c.host, status, v["Stage"])
		if status == 200 || status == 201 || status == 400 || status == 422 {
			stage, _ := v["Stage"].(string)
			return status, stage
		}
	}
	return 0, ""
}

// poll asks about a job once.
func (w *world) poll(c *controller, name string) (int, object) {
	return w.call(c, http.MethodGet, "/v1/jobs/"+name, nil, 2*time.Second)
}

// healthy waits until all controllers answer their health checks and workers are served.
func (w *world) healthy(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ok := 0
		for _, c := range w.controllers {
			if status, _ := w.call(c, http.MethodGet, "/healthz", nil, time.Second); status == http.StatusOK {
				ok++
			}
		}
		if ok == len(w.controllers) {
			return true
		}
	}
	return false
}

// running returns the machines on which a job's tasks run now, by task.
func (w *world) running(job string) map[string]string {
	out := map[string]string{}
	for _, r := range w.tasks.Runs() {
		if strings.HasPrefix(r.Task, job+"/") && r.EndedAt.IsZero() {
			out[r.Task] = r.Machine
		}
	}
	return out
}

// waitRunning waits until that many tasks of a job run.
func (w *world) waitRunning(name string, tasks int, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(w.running(name)) >= tasks {
			return true
		}
	}
	return false
}

// leader returns the index of the controller that says it leads, -1 if none does.
func (w *world) leader() int {
	for i, c := range w.controllers {
		res, err := http.Get("http://" + c.bind + "/metrics")
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if bytes.Contains(b, []byte("\nhoneylock_leading 1\n")) {
			return i
		}
	}
	return -1
}

// take has the cloud take a machine without a notice.
func (w *world) take(machine string) {
	w.note("the cloud takes %s without notice", machine)
	w.cloud.FailMachine(machine)
}

// joined reports whether all other controllers say in their logs that they have joined the leader.
func (w *world) joined(leader int) bool {
	for i, c := range w.controllers {
		b, err := os.ReadFile(filepath.Join(w.dir, c.host+".log"))
		if i != leader && (err != nil || !bytes.Contains(b, []byte("msg=joined leader="+w.controllers[leader].host))) {
			return false
		}
	}
	return true
}
