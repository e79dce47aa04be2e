package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"honeylock/internal/config"
)

// rentedMachine is a machine as the cloud knows it.
type rentedMachine struct {
	name, zone  string
	machineType Kind
	spot        bool
	rentedAt    time.Time
	bootedAt    time.Time // when it boots; zero: never
	worker      *Worker   // nil until then, and where machines run elsewhere
	addr        string    // "" until then
	listedAt    time.Time // shows from then on
	unlistedAt  time.Time // zero: it is there; the list shows it until then
}

// Cloud is a stand-in of the cloud: it rents machines with limited capacity,
// boots them after a while, and lists them late.
type Cloud struct {
	mu              sync.Mutex
	types           []Kind
	listLag         time.Duration
	listedAfterLoss time.Duration
	timing          Timing
	tasks           *Depot
	hosts           []Host
	rng             *rand.Rand
	requestLimiter  *rate.Limiter
	lastNumber      int
	machines        map[string]*rentedMachine
	rentals         map[string][]string
	noCapacity      bool
	exhaustedZones  map[string]bool // zones without machines to rent
	neverBoot       bool            // machines rented from now on never come up
	runner          MachineRunner
	calls           int
	refusedCalls    int
	server          *loopbackServer
}

// MachineRunner brings machines up and ends them.
type MachineRunner interface {
	// Boot brings a machine up and returns its worker's address.
	Boot(m MachineSpec) (addr string, err error)
	// End ends a machine with all that is on it; the name may be unknown.
	End(name string)
}

// CloudParams of a cloud.
type CloudParams struct {
	Kinds   []Kind
	ListLag time.Duration
	Dying   time.Duration // a machine that stopped is listed for so much longer
	RPS     float64
	Timing  Timing
	Runs    MachineRunner // where machines run; nil: in this process, each with its own listener
}

// NewCloud returns a cloud whose workers report to the hosts.
func NewCloud(p CloudParams, tasks *Depot, hosts []Host, rng *rand.Rand) (*Cloud, error) {
	c := &Cloud{
		types:           p.Kinds,
		listLag:         p.ListLag,
		listedAfterLoss: p.Dying,
		timing:          p.Timing,
		tasks:           tasks,
		hosts:           hosts,
		rng:             rng,
		runner:          p.Runs,
		requestLimiter:  rate.NewLimiter(rate.Limit(p.RPS), max(1, int(2*p.RPS))),
		machines:        map[string]*rentedMachine{},
		rentals:         map[string][]string{},
		exhaustedZones:  map[string]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter,
		_ *http.Request) {
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

// allowRequest counts a call, and tells whether it is within the cloud's rate.
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

// Calls are the calls so far, and those of them that were refused for the rate.
func (c *Cloud) Calls() (all, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.refusedCalls
}

// Addr is where controllers reach the cloud.
func (c *Cloud) Addr() string { return c.server.addr }

// Close ends the cloud and all its machines.
func (c *Cloud) Close() {
	c.server.close()
	for _, w := range c.Workers() {
		w.Kill()
	}
}

// SetNoCapacity lets the cloud have no capacity, or some again.
func (c *Cloud) SetNoCapacity(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noCapacity = on
}

// Shut lets a zone have no capacity any more.
func (c *Cloud) Shut(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exhaustedZones[zone] = true
}

// SetNeverBoot lets machines rented from now on never come up, or come up again.
func (c *Cloud) SetNeverBoot(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.neverBoot = on
}

// Seed gives the cluster machines that are up from the beginning.
func (c *Cloud) Seed(typeIndex int, zone string, spot bool, count int) error {
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

func (c *Cloud) addMachine(machineType Kind, zone string, spot bool) *rentedMachine {
	c.lastNumber++
	m := &rentedMachine{name: fmt.Sprintf("m-%06d", c.lastNumber), zone: zone, machineType: machineType, spot: spot, rentedAt: time.Now()}
	m.listedAt = m.rentedAt.Add(c.listLag)
	c.machines[m.name] = m
	return m
}

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

// stopMachine ends a machine's worker.
func (c *Cloud) stopMachine(m *rentedMachine) {
	switch {
	case m.worker != nil:
		m.worker.Kill()
	case c.runner != nil && m.addr != "":
		c.runner.End(m.name)
	}
}

// InZone are the names of the machines of a zone that are up, in order; "": of all zones.
func (c *Cloud) InZone(zone string) []string {
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

// Workers returns the machines that are up, by name.
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

// Lose lets a machine stop with all that is on it; the list shows it for a while.
func (c *Cloud) Lose(name string) {
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

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hire, Breed, Yard string
		SwarmBoxes        bool
		Count             int
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Hire == "" || request.Count < 1 || request.Count > 50 {
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
			if m.machineType.Label == k.Label && m.zone == request.Yard && m.spot == request.SwarmBoxes && m.unlistedAt.IsZero() {
				rentedCount++
			}
		}
		for range min(request.Count, k.Room-rentedCount) {
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

// rentOne rents one machine, which boots later.
func (c *Cloud) rentOne(machineType Kind, zone string, spot bool) *rentedMachine {
	m := c.addMachine(machineType, zone, spot)
	if c.neverBoot {
		return m
	}
	bootTime := config.Seconds(machineType.ReadyS * (0.6 + 0.9*c.rng.Float64()))
	time.AfterFunc(bootTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.unlistedAt.IsZero() && c.machines[m.name] == m {
			_ = c.boot(m) // without a port it is one that never comes up
		}
	})
	return m
}

func (c *Cloud) returnMachines(w http.ResponseWriter, r *http.Request) {
	var request struct{ Hives []string }
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Hives) > 100 {
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
		machine := object{"NameId": name, "Addr": "", "Breed": m.machineType.Label, "Yard": m.zone, "SwarmBoxes": m.spot, "Stage": "starting",
			"HeldS": now.Add(-c.listLag).Sub(m.rentedAt).Seconds()}
		if m.addr != "" {
			machine["Stage"], machine["Addr"] = "running", m.addr
		}
		machines = append(machines, machine)
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i]["NameId"].(string) < machines[j]["NameId"].(string) })
	pageSize := min(len(machines), 500)
	writeJSON(w, http.StatusOK, object{"Hives": machines[:pageSize], "Truncated": pageSize < len(machines)})
}
