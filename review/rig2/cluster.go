// Command rig2 runs the cases of the second review. It starts controllers as separate processes with
// the commands of the deploy file, on loopback, beside stand-ins of the state service, the cloud, the
// workers and the users.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"honeylock/internal/standin"
)

// errSetup means that a case could not run, which says nothing about the service.
var errSetup = errors.New("the case could not run")

// record is the case's record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns the time since the case began.
func (r *record) at() time.Duration { return time.Since(r.began) }

// verdictOnStore is what happens to a request to the state service on its way.
type verdictOnStore struct {
	before     time.Duration // delay before the service executes the request
	after      time.Duration // delay of the answer
	loseAnswer bool          // the request is executed, the answer is lost
}

// verdictOnWire is what happens to a message between a controller and a worker.
type verdictOnWire struct {
	late       time.Duration // it arrives so much later, and its sender gets no answer
	loseAnswer bool
}

// options are a case's deployment.
type options struct {
	controllers int
	types       []standin.MachineType
	machines    []machineGroup
	teams       string // TOML
	zones       []string
	reportS     float64
	leaseS      float64
	cancelS     float64
	limits      standin.StoreLimits
	cloudRPS    float64
	listLagS    float64
	cpu         float64
	memMB       float64
	fdLimit     int
	next        string // TOML: the limits that the state service will have
	peerProxies bool   // controllers reach each other through proxies
	// onReport and onCommand decide about each report of a worker and each direct command; nil: no proxies.
	onReport, onCommand func() verdictOnWire
	// onStore decides about each request of a controller to the state service; it may be nil.
	onStore func(node int, method, path, query string, body []byte) verdictOnStore
}

type machineGroup struct {
	typeIndex int
	zone      string
	spot      bool
	count     int
}

// registry is the deployment of the Registry's tender, on few machines.
func registry() options {
	return options{
		controllers: 3,
		types: []standin.MachineType{{Label: "kiiz-thirtytwo", Cpus: 32, MemGb: 64, LocalGb: 40, PullGbPerS: 0.5,
			Hourly: 1.52, MarketPrice: 0.44, ReadyS: 15, Yards: []string{"almaty-east", "almaty-west", "astana-dc"}}},
		machines: []machineGroup{{0, "almaty-east", false, 3}, {0, "almaty-west", false, 3}, {0, "astana-dc", false, 2}},
		teams: teamTOML("artisan-desk", 408, 1016) + teamTOML("payments-office", 304, 1224) +
			teamTOML("catalogue-unit", 408, 1624) + teamTOML("audit-cell", 160, 512),
		zones:   []string{"almaty-east", "almaty-west", "astana-dc", "shymkent-dc"},
		reportS: 1, leaseS: 10, cancelS: 40,
		limits:   standin.StoreLimits{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 16},
		cloudRPS: 5, listLagS: 10, cpu: 0.24, memMB: 98, fdLimit: 800,
	}
}

func teamTOML(name string, cpus, cpusMax float64) string {
	return fmt.Sprintf("[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n\n", name, cpus,
		cpusMax)
}

// controller is one controller process.
type controller struct {
	index            int
	name             string
	bind, peerListen string
	config           string
	mu               sync.Mutex
	cmd              *exec.Cmd
	stopped          bool
}

// cluster is a running deployment.
type cluster struct {
	*record
	options
	dir         string
	store       *standin.Store
	endpoints   []*standin.StoreEndpoint
	fronts      []*http.Server
	frontAddrs  []string
	cloud       *standin.Cloud
	tasks       *standin.TaskRegistry
	controllers []*controller
	links       map[[2]int]*slowLink // from controller, to controller
	users       *http.Client
	commands    sync.Map // addresses of the proxies to workers, by the workers' own addresses
	uploaded    sync.Map // job descriptions that users have uploaded for the workers, by name
}

// freeAddr returns a free address for a controller. Its loopback address belongs to this process alone, so
// that nobody else takes the port while the controller is down.
func freeAddr() (string, error) {
	pid := os.Getpid()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 16+pid>>16&0x3f, pid>>8&0xff, max(1, min(254, pid&0xff))))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts a deployment. Its controllers are started in order.
func start(o options, r *record, seed uint64) (*cluster, error) {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: r, options: o, dir: dir, store: standin.NewStore(o.limits), tasks: standin.NewTaskRegistry(),
		links: map[[2]int]*slowLink{}, users: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	c.tasks.LimitCPUs = map[string]float64{}
	c.tasks.FindJob = func(name string) []byte {
		b, _ := c.uploaded.Load(name)
		description, _ := b.([]byte)
		return description
	}
	var hosts []standin.Host
	for i := range o.controllers {
		endpoint, err := c.store.NewEndpoint()
		if err != nil {
			return c, err
		}
		c.endpoints = append(c.endpoints, endpoint)
		if err := c.startFront(i); err != nil {
			return c, err
		}
		n := &controller{index: i, name: fmt.Sprintf("hive-%d", i), config: filepath.Join(dir, fmt.Sprintf("hive-%d.toml", i))}
		if n.bind, err = freeAddr(); err != nil {
			return c, err
		}
		if n.peerListen, err = freeAddr(); err != nil {
			return c, err
		}
		c.controllers = append(c.controllers, n)
		reportTo := n.bind
		if o.onReport != nil {
			if reportTo, err = c.startReportFront(n); err != nil {
				return c, err
			}
		}
		hosts = append(hosts, standin.Host{Name: n.name, Addr: reportTo})
	}
	c.cloud, err = standin.NewCloud(standin.CloudParams{Types: o.types, ListLag: seconds(o.listLagS),
		ListedAfterLoss: 30 * time.Second, RPS: o.cloudRPS,
		Timing: standin.Timing{Report: seconds(o.reportS), Lease: seconds(o.leaseS)}}, c.tasks, hosts,
		rand.New(rand.NewPCG(seed, 1)))
	if err != nil {
		return c, err
	}
	for _, n := range c.controllers {
		if err := c.writeConfig(n); err != nil {
			return c, err
		}
		if err := c.launch(n); err != nil {
			return c, err
		}
	}
	for _, g := range o.machines {
		if err := c.cloud.AddMachines(g.typeIndex, g.zone, g.spot, g.count); err != nil {
			return c, err
		}
	}
	return c, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// startFront starts the address at which a controller reaches the state service. It passes each request
// on to the stand-in, as onStore decides.
func (c *cluster) startFront(i int) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	backend := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	target := "http://" + c.endpoints[i].Addr
	front := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var v verdictOnStore
		if c.onStore != nil {
			v = c.onStore(i, r.Method, r.URL.Path, r.URL.RawQuery, body)
		}
		time.Sleep(v.before)
		ctx := r.Context()
		if r.Method != http.MethodGet {
			ctx = context.Background() // what has arrived is carried out
		}
		req, err := http.NewRequestWithContext(ctx, r.Method, target+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			return
		}
		res, err := backend.Do(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		answer, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if v.loseAnswer {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(v.after)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(res.StatusCode)
		_, _ = w.Write(answer)
	})}
	c.fronts = append(c.fronts, front)
	c.frontAddrs = append(c.frontAddrs, l.Addr().String())
	go func() { _ = front.Serve(l) }()
	return nil
}

// startReportFront starts the address at which workers reach a controller. Reports then name the address of a
// proxy as the worker's own.
func (c *cluster) startReportFront(n *controller) (string, error) {
	return c.startWire(n.bind, func() verdictOnWire { return c.onReport() }, func(body []byte) []byte {
		var report map[string]json.RawMessage
		var addr string
		if json.Unmarshal(body, &report) != nil || json.Unmarshal(report["Addr"], &addr) != nil {
			return body
		}
		proxy, known := c.commands.Load(addr)
		if !known {
			started, err := c.startWire(addr, func() verdictOnWire { return c.onCommand() }, nil)
			if err != nil {
				return body
			}
			proxy, _ = c.commands.LoadOrStore(addr, started)
		}
		report["Addr"], _ = json.Marshal(proxy)
		rewritten, _ := json.Marshal(report)
		return rewritten
	})
}

// startWire starts a proxy for requests to an address.
func (c *cluster) startWire(target string, decide func() verdictOnWire, rewrite func([]byte) []byte) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	backend := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	front := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if rewrite != nil {
			body = rewrite(body)
		}
		v := decide()
		time.Sleep(v.late)
		ctx := r.Context()
		if v.late > 0 {
			late, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			ctx = late
		}
		req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+target+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			return
		}
		res, err := backend.Do(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		answer, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if v.loseAnswer {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(res.StatusCode)
		_, _ = w.Write(answer)
	})}
	go func() { _ = front.Serve(l) }()
	return l.Addr().String(), nil
}

func (c *cluster) writeConfig(n *controller) error {
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\nzone = %q\nbind = %q\npeer_listen = %q\n\n", n.name, c.zones[n.index%len(c.zones)], n.bind,
		n.peerListen)
	for _, other := range c.controllers {
		if other == n {
			continue
		}
		addr := other.peerListen
		if c.peerProxies {
			proxy, err := newSlowLink(addr)
			if err != nil {
				return err
			}
			c.links[[2]int{n.index, other.index}] = proxy
			addr = proxy.Addr()
		}
		fmt.Fprintf(&b, "[[siblings]]\nhost_name = %q\nzone = %q\naddress = %q\n\n", other.name,
			c.zones[other.index%len(c.zones)], addr)
	}
	fmt.Fprintf(&b, "[services]\ncloud = %q\nstate = %q\n\n", c.cloud.Addr(), c.frontAddrs[n.index])
	zones, _ := json.Marshal(c.zones)
	fmt.Fprintf(&b, "[cluster]\ninitial_size = %d\nzones = %s\nskew_ms = 1000.0\n\n", len(c.controllers), zones)
	b.WriteString(c.teams)
	fmt.Fprintf(&b, "[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = %.1f\n\n",
		c.reportS, c.leaseS, c.cancelS)
	fmt.Fprintf(&b, "[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n\n", c.limits.RPS,
		c.limits.WriteRPS, c.limits.ValueKB, c.limits.TxnOps)
	b.WriteString(c.next)
	fmt.Fprintf(&b, "[cluster.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n", c.cloudRPS, c.listLagS)
	fmt.Fprintf(&b, "[cluster.resources]\ncpu = %.2f\nmem_mb = %.1f\nfd_limit = %d\n", c.cpu, c.memMB, c.fdLimit)
	return os.WriteFile(n.config, []byte(b.String()), 0o644)
}

// launch starts a controller's process with the command of the deploy file.
func (c *cluster) launch(n *controller) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/honeylock", "serve", "--config", n.config)
	cmd.Stderr = log
	if os.Getenv("LOG_LEVEL") == "" {
		cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	c.logf("start %s pid %d", n.name, cmd.Process.Pid)
	return nil
}

// kill ends a controller's process without a signal that it could handle.
func (c *cluster) kill(n *controller) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	n.cmd = nil
	c.logf("kill %s", n.name)
}

// signal sends SIGSTOP or SIGCONT to a controller's process.
func (c *cluster) signal(n *controller, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
		n.stopped = s == syscall.SIGSTOP
		c.logf("signal %s: %v", n.name, s)
	}
}

// alive reports whether a controller's process runs; it fails if it ended by itself.
func (n *controller) alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil
}

// leader returns the controller that holds the leader's key.
func (c *cluster) leader() *controller {
	var v struct{ Host string }
	if json.Unmarshal(c.store.ReadKey("leader"), &v) != nil {
		return nil
	}
	for _, n := range c.controllers {
		if n.name == v.Host {
			return n
		}
	}
	return nil
}

// waitFor waits until a condition holds.
func (c *cluster) waitFor(what string, limit time.Duration, cond func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if cond() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s did not come about within %v", errSetup, what, limit)
}

// healthy reports whether a controller answers health checks with 200.
func (c *cluster) healthy(n *controller) bool {
	status, _, err := c.call(http.MethodGet, n, "/healthz", nil, time.Second)
	return err == nil && status == http.StatusOK
}

// close ends all processes and stand-ins, and removes the folder.
func (c *cluster) close() {
	for _, n := range c.controllers {
		c.kill(n)
	}
	for _, p := range c.links {
		p.Close()
	}
	for _, f := range c.fronts {
		_ = f.Close()
	}
	if c.cloud != nil {
		c.cloud.Close()
	}
	c.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}

// call sends a request to a controller.
func (c *cluster) call(method string, n *controller, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.bind+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	res, err := c.users.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, b, err
}

// job is a user's job.
type job struct {
	NameId, Comb, Colony, Shape, Rank string
	Cells                             int
	Cpus, Accelerators, MemGb         float64
	Wax                               string
	ImageGb                           float64
	Breeds                            []string
	Yard                              *string
	Together, Spread, SwarmBoxes      bool
	ForageS, CapIntervalS, CapS       float64
	HarvestS                          *float64
	Awaits                            []string `json:",omitempty"`
}

func newJob(id int, class, team, rank string, cells int, cpus, runS float64) *job {
	return &job{NameId: fmt.Sprintf("job-%06d", id), Comb: class, Colony: team, Shape: "batch", Rank: rank, Cells: cells,
		Cpus: cpus, MemGb: cpus, Wax: "img-" + class, ImageGb: 0.5, SwarmBoxes: true, ForageS: runS}
}

type state struct {
	Stage         string
	Done, Running int
}

// submitTo sends a submission to one controller.
func (c *cluster) submitTo(n *controller, j *job) (int, state) {
	b, _ := json.Marshal(j)
	c.uploaded.Store(j.NameId, b)
	return c.ask(http.MethodPost, n, "/v1/jobs", j.NameId, b, 5*time.Second)
}

func (c *cluster) poll(n *controller, id string) (int, state) {
	return c.ask(http.MethodGet, n, "/v1/jobs/"+id, id, nil, 2*time.Second)
}

func (c *cluster) withdraw(n *controller, id string) (int, state) {
	return c.ask(http.MethodPost, n, "/v1/jobs/"+id+"/withdraw", id, nil, 5*time.Second)
}

func (c *cluster) ask(method string, n *controller, path, id string, body []byte, timeout time.Duration) (int, state) {
	sent := c.at()
	status, answer, err := c.call(method, n, path, body, timeout)
	var s state
	if err == nil {
		_ = json.Unmarshal(answer, &s)
	}
	what := method + " " + path
	if strings.HasSuffix(path, "/v1/jobs") {
		what += " " + id
	}
	c.logf("user -> %s: %s sent at %.3f: %d %s err=%v", n.name, what, sent.Seconds(), status, bytes.TrimSpace(answer), err)
	return status, s
}

// submit submits a job as users do: it retries after a second, at another healthy controller, for up to
// a minute.
func (c *cluster) submit(first int, j *job) error {
	for i, end := first, time.Now().Add(time.Minute); time.Now().Before(end); i++ {
		n := c.controllers[i%len(c.controllers)]
		if n.alive() {
			if status, _ := c.submitTo(n, j); status == 200 || status == 201 {
				return nil
			} else if status == 400 || status == 422 {
				return fmt.Errorf("%w: %s refused with %d", errSetup, j.NameId, status)
			}
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%w: %s was not accepted within a minute", errSetup, j.NameId)
}
