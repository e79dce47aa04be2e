package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"honeylock/internal/config"
	"honeylock/internal/exactjson"
)

// rentedMachine is a machine that was rented from the cloud.
type rentedMachine struct {
	name, zone  string
	machineType MachineType
	spot        bool
	rentedAt    time.Time
	bootedAt    time.Time // zero until it has booted
	worker      *Worker   // nil until it has booted, and if a MachineRunner runs it
	addr        string    // empty until it has booted
	listedAt    time.Time // the list shows it from then on
	unlistedAt  time.Time // the list shows it until then; zero while it is rented
}

// Cloud is a stand-in for the cloud: it rents out machines of limited capacity, boots them
// after a delay, and lists changes after a lag.
type Cloud struct {
	mu              sync.Mutex
	types           []MachineType
	listLag         time.Duration
	listedAfterLoss time.Duration
	timing          Timing
	tasks           *TaskRegistry
	hosts           []Host
	rng             *rand.Rand
	requestLimiter  *rate.Limiter
	lastNumber      int
	machines        map[string]*rentedMachine
	rentals         map[string][]string // names of machines by the ID of their rental request
	noCapacity      bool
	exhaustedZones  map[string]bool // zones in which no machine can be rented
	neverBoot       bool            // machines rented from now on never boot
	runner          MachineRunner
	calls           int
	refusedCalls    int
	server          *loopbackServer
}

// MachineRunner boots and stops machines outside this process.
type MachineRunner interface {
	// Boot boots a machine and returns its worker's address.
	Boot(m MachineSpec) (addr string, err error)
	// End stops a machine and its tasks; the name may be unknown.
	End(name string)
}

// CloudParams are the parameters of a cloud.
type CloudParams struct {
	Types           []MachineType
	ListLag         time.Duration
	ListedAfterLoss time.Duration // how long a failed machine is still listed, in addition to ListLag
	RPS             float64
	Timing          Timing
	Runner          MachineRunner // runs the machines; nil: in this process, each with its own listener
}

// NewCloud starts a cloud whose workers report to the hosts.
func NewCloud(p CloudParams, tasks *TaskRegistry, hosts []Host, rng *rand.Rand) (*Cloud, error) {
	c := &Cloud{
		types:           p.Types,
		listLag:         p.ListLag,
		listedAfterLoss: p.ListedAfterLoss,
		timing:          p.Timing,
		tasks:           tasks,
		hosts:           hosts,
		rng:             rng,
		runner:          p.Runner,
		requestLimiter:  rate.NewLimiter(rate.Limit(p.RPS), max(1, int(2*p.RPS))),
		machines:        map[string]*rentedMachine{},
		rentals:         map[string][]string{},
		exhaustedZones:  map[string]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, object{"Breeds": c.types})
	})
	mux.HandleFunc("GET /rentals", c.list)
	mux.HandleFunc("POST /rentals", c.rent)
	mux.HandleFunc("POST /rentals/return", c.returnMachines)
	var err error
	c.server, err = startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.allowRequest() {
			writeJSON(w, http.StatusTooManyRequests, object{})
			return
		}
		mux.ServeHTTP(w, r)
	}))
	if err != nil {
		return nil, fmt.Errorf("stand-in cloud: %w", err)
	}
	return c, nil
}

// allowRequest counts a call and reports whether it is within the cloud's rate limit.
func (c *Cloud) allowRequest() bool {
	allowed := c.requestLimiter.Allow()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if !allowed {
		c.refusedCalls++
	}
	return allowed
}

// Calls returns the number of calls so far and how many of them exceeded the rate limit.
func (c *Cloud) Calls() (all, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.refusedCalls
}

// Addr returns the address at which controllers reach the cloud.
func (c *Cloud) Addr() string { return c.server.addr }

// Close stops the cloud and its machines.
func (c *Cloud) Close() {
	c.server.close()
	for _, w := range c.Workers() {
		w.Kill()
	}
}

// SetNoCapacity makes the cloud refuse all rentals for lack of capacity, or stops that.
func (c *Cloud) SetNoCapacity(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noCapacity = on
}

// ExhaustZone makes the cloud refuse all further rentals in a zone for lack of capacity.
func (c *Cloud) ExhaustZone(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exhaustedZones[zone] = true
}

// SetNeverBoot makes machines that are rented from now on never boot, or stops that.
func (c *Cloud) SetNeverBoot(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.neverBoot = on
}

// AddMachines adds machines that have already booted, at the start of a cluster.
func (c *Cloud) AddMachines(typeIndex int, zone string, spot bool, count int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		m := c.addMachine(c.types[typeIndex], zone, spot)
		m.listedAt = time.Time{}
		if err := c.boot(m); err != nil {
			return err
		}
	}
	return nil
}

// addMachine records a new machine, which the list shows after its lag.
func (c *Cloud) addMachine(machineType MachineType, zone string, spot bool) *rentedMachine {
	c.lastNumber++
	m := &rentedMachine{
		name: fmt.Sprintf("m-%06d", c.lastNumber), zone: zone, machineType: machineType, spot: spot, rentedAt: time.Now(),
	}
	m.listedAt = m.rentedAt.Add(c.listLag)
	c.machines[m.name] = m
	return m
}

// boot starts a machine's worker.
func (c *Cloud) boot(m *rentedMachine) error {
	spec := MachineSpec{Name: m.name, Yard: m.zone, Spot: m.spot, Kind: m.machineType, First: c.lastNumber}
	if c.runner != nil {
		addr, err := c.runner.Boot(spec)
		if err == nil {
			m.addr, m.bootedAt = addr, time.Now()
		}
		return err
	}
	w, err := StartWorker(spec, c.timing, c.tasks, c.hosts)
	if err != nil {
		return err
	}
	m.worker, m.addr, m.bootedAt = w, w.Addr(), time.Now()
	return nil
}

// stopMachine stops a machine's worker, if it has booted.
func (c *Cloud) stopMachine(m *rentedMachine) {
	switch {
	case m.worker != nil:
		m.worker.Kill()
	case c.runner != nil && m.addr != "":
		c.runner.End(m.name)
	}
}

// RunningInZone returns the sorted names of the running machines in a zone, or in all zones for "".
func (c *Cloud) RunningInZone(zone string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, m := range c.machines {
		if m.addr != "" && m.unlistedAt.IsZero() && (zone == "" || m.zone == zone) {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Workers returns the running machines of this process, sorted by name.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Worker
	for _, m := range c.machines {
		if m.worker != nil && m.unlistedAt.IsZero() {
			out = append(out, m.worker)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// FailMachine makes a machine and its tasks stop; the cloud lists it for some time after that.
func (c *Cloud) FailMachine(name string) {
	c.mu.Lock()
	m := c.machines[name]
	if m == nil || !m.unlistedAt.IsZero() {
		c.mu.Unlock()
		return
	}
	m.unlistedAt = time.Now().Add(c.listedAfterLoss + c.listLag)
	c.mu.Unlock()
	c.stopMachine(m)
}

// rent rents machines, as many as there is capacity for. A repeated request gets the same
// answer as the first.
func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hire, Breed, Yard string
		SwarmBoxes        bool
		Count             int
	}
	if exactjson.Decode(r.Body, &request) != nil || request.Hire == "" || request.Count < 1 || request.Count > 50 {
		writeJSON(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if earlier, ok := c.rentals[request.Hire]; ok {
		writeJSON(w, http.StatusOK, object{"Hives": earlier})
		return
	}
	var names []string
	for _, k := range c.types {
		if k.Label != request.Breed || c.noCapacity || c.exhaustedZones[request.Yard] {
			continue
		}
		rentedCount := 0
		for _, m := range c.machines {
			if m.machineType.Label == k.Label && m.zone == request.Yard && m.spot == request.SwarmBoxes &&
				m.unlistedAt.IsZero() {
				rentedCount++
			}
		}
		for range min(request.Count, k.MaxPerZone-rentedCount) {
			names = append(names, c.rentOne(k, request.Yard, request.SwarmBoxes).name)
		}
	}
	if len(names) == 0 {
		writeJSON(w, http.StatusServiceUnavailable, object{"error": "no capacity"})
		return
	}
	c.rentals[request.Hire] = names
	writeJSON(w, http.StatusOK, object{"Hives": names})
}

// rentOne rents one machine, which boots after 0.6 to 1.5 times its type's boot time.
func (c *Cloud) rentOne(machineType MachineType, zone string, spot bool) *rentedMachine {
	m := c.addMachine(machineType, zone, spot)
	if c.neverBoot {
		return m
	}
	bootTime := config.Seconds(machineType.ReadyS * (0.6 + 0.9*c.rng.Float64()))
	time.AfterFunc(bootTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.unlistedAt.IsZero() && c.machines[m.name] == m {
			_ = c.boot(m) // if no port is free, the machine never boots
		}
	})
	return m
}

// returnMachines takes machines back and stops them.
func (c *Cloud) returnMachines(w http.ResponseWriter, r *http.Request) {
	var request struct{ Hives []string }
	if exactjson.Decode(r.Body, &request) != nil || len(request.Hives) > 100 {
		writeJSON(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	var returned []*rentedMachine
	for _, n := range request.Hives {
		if m := c.machines[n]; m != nil && m.unlistedAt.IsZero() {
			m.unlistedAt = time.Now().Add(c.listLag)
			returned = append(returned, m)
		}
	}
	c.mu.Unlock()
	for _, m := range returned {
		c.stopMachine(m)
	}
	writeJSON(w, http.StatusOK, object{})
}

// list answers with a page of the machines, as they were known one lag ago.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("From")
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	machines := []object{}
	for name, m := range c.machines {
		if name <= from || now.Before(m.listedAt) || !m.unlistedAt.IsZero() && now.After(m.unlistedAt) {
			continue
		}
		machine := object{
			"NameId": name, "Addr": "", "Breed": m.machineType.Label, "Yard": m.zone, "SwarmBoxes": m.spot,
			"Stage": "starting", "HeldS": now.Add(-c.listLag).Sub(m.rentedAt).Seconds(),
		}
		if m.addr != "" {
			machine["Stage"], machine["Addr"] = "running", m.addr
		}
		machines = append(machines, machine)
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i]["NameId"].(string) < machines[j]["NameId"].(string) })
	pageSize := min(len(machines), 500)
	writeJSON(w, http.StatusOK, object{"Hives": machines[:pageSize], "Truncated": pageSize < len(machines)})
}
