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

// rented is a machine as the cloud knows it.
type rented struct {
	name, yard string
	kind       Kind
	spot       bool
	since      time.Time
	up         time.Time // when it boots; zero: never
	w          *Worker   // nil until then, and where machines run elsewhere
	addr       string    // "" until then
	listedAt   time.Time // shows from then on
	goneAt     time.Time // zero: it is there; the list shows it until then
}

// Cloud is a stand-in of the cloud: it rents machines with limited capacity,
// boots them after a while, and lists them late.
type Cloud struct {
	mu     sync.Mutex
	kinds  []Kind
	lag    time.Duration
	dying  time.Duration
	timing Timing
	depot  *Depot
	hosts  []Host
	rng    *rand.Rand
	reqs   *rate.Limiter
	last   int
	all    map[string]*rented
	hires  map[string][]string
	refuse bool
	shut   map[string]bool // zones without machines to rent
	stuck  bool            // machines rented from now on never come up
	runs   Machines
	calls  int
	busy   int
	door   *door
}

// Machines brings machines up and ends them.
type Machines interface {
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
	Runs    Machines // where machines run; nil: in this process, each with its own listener
}

// NewCloud returns a cloud whose workers report to the hosts.
func NewCloud(p CloudParams, d *Depot, hosts []Host, rng *rand.Rand) (*Cloud, error) {
	c := &Cloud{
		kinds:  p.Kinds,
		lag:    p.ListLag,
		dying:  p.Dying,
		timing: p.Timing,
		depot:  d,
		hosts:  hosts,
		rng:    rng,
		runs:   p.Runs,
		reqs:   rate.NewLimiter(rate.Limit(p.RPS), max(1, int(2*p.RPS))),
		all:    map[string]*rented{},
		hires:  map[string][]string{},
		shut:   map[string]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter,
		_ *http.Request) {
		answer(w, http.StatusOK, object{"Breeds": c.kinds})
	})
	mux.HandleFunc("GET /rentals", c.list)
	mux.HandleFunc("POST /rentals", c.rent)
	mux.HandleFunc("POST /rentals/return", c.giveBack)
	var err error
	c.door, err = open(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !c.admits() {
			answer(w, http.StatusTooManyRequests, object{})
			return
		}
		mux.ServeHTTP(w, r)
	}))
	if err != nil {
		return nil, fmt.Errorf("stand-in cloud: %w", err)
	}
	return c, nil
}

// admits counts a call, and tells whether it is within the cloud's rate.
func (c *Cloud) admits() bool {
	allowed := c.reqs.Allow()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if !allowed {
		c.busy++
	}
	return allowed
}

// Calls are the calls so far, and those of them that were refused for the rate.
func (c *Cloud) Calls() (all, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, c.busy
}

// Addr is where controllers reach the cloud.
func (c *Cloud) Addr() string { return c.door.addr }

// Close ends the cloud and all its machines.
func (c *Cloud) Close() {
	c.door.close()
	for _, w := range c.Workers() {
		w.Kill()
	}
}

// Refuse lets the cloud have no capacity, or some again.
func (c *Cloud) Refuse(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuse = on
}

// Shut lets a zone have no capacity any more.
func (c *Cloud) Shut(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut[zone] = true
}

// Stick lets machines rented from now on never come up, or come up again.
func (c *Cloud) Stick(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stuck = on
}

// Seed gives the cluster machines that are up from the beginning.
func (c *Cloud) Seed(kind int, yard string, spot bool, n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range n {
		m := c.add(c.kinds[kind], yard, spot)
		m.listedAt = time.Time{}
		if err := c.boot(m); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cloud) add(k Kind, yard string, spot bool) *rented {
	c.last++
	m := &rented{name: fmt.Sprintf("m-%06d", c.last), yard: yard, kind: k, spot: spot, since: time.Now()}
	m.listedAt = m.since.Add(c.lag)
	c.all[m.name] = m
	return m
}

func (c *Cloud) boot(m *rented) error {
	spec := MachineSpec{Name: m.name, Yard: m.yard, Spot: m.spot, Kind: m.kind, First: c.last}
	if c.runs != nil {
		addr, err := c.runs.Boot(spec)
		if err == nil {
			m.addr, m.up = addr, time.Now()
		}
		return err
	}
	w, err := StartWorker(spec, c.timing, c.depot, c.hosts)
	if err != nil {
		return err
	}
	m.w, m.addr, m.up = w, w.Addr(), time.Now()
	return nil
}

// end ends a machine's worker.
func (c *Cloud) end(m *rented) {
	switch {
	case m.w != nil:
		m.w.Kill()
	case c.runs != nil && m.addr != "":
		c.runs.End(m.name)
	}
}

// InZone are the names of the machines of a zone that are up, in order; "": of all zones.
func (c *Cloud) InZone(zone string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, m := range c.all {
		if m.addr != "" && m.goneAt.IsZero() && (zone == "" || m.yard == zone) {
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
	for _, m := range c.all {
		if m.w != nil && m.goneAt.IsZero() {
			out = append(out, m.w)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Lose lets a machine stop with all that is on it; the list shows it for a while.
func (c *Cloud) Lose(name string) {
	c.mu.Lock()
	m := c.all[name]
	if m == nil || !m.goneAt.IsZero() {
		c.mu.Unlock()
		return
	}
	m.goneAt = time.Now().Add(c.dying + c.lag)
	c.mu.Unlock()
	c.end(m)
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Hire, Breed, Yard string
		SwarmBoxes        bool
		Count             int
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.Hire == "" || b.Count < 1 || b.Count > 50 {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if got, ok := c.hires[b.Hire]; ok {
		answer(w, http.StatusOK, object{"Hives": got})
		return
	}
	var names []string
	for _, k := range c.kinds {
		if k.Label != b.Breed || c.refuse || c.shut[b.Yard] {
			continue
		}
		have := 0
		for _, m := range c.all {
			if m.kind.Label == k.Label && m.yard == b.Yard && m.spot == b.SwarmBoxes && m.goneAt.IsZero() {
				have++
			}
		}
		for range min(b.Count, k.Room-have) {
			names = append(names, c.hire(k, b.Yard, b.SwarmBoxes).name)
		}
	}
	if len(names) == 0 {
		answer(w, http.StatusServiceUnavailable, object{"error": "no capacity"})
		return
	}
	c.hires[b.Hire] = names
	answer(w, http.StatusOK, object{"Hives": names})
}

// hire rents one machine, which boots later.
func (c *Cloud) hire(k Kind, yard string, spot bool) *rented {
	m := c.add(k, yard, spot)
	if c.stuck {
		return m
	}
	ready := config.Seconds(k.ReadyS * (0.6 + 0.9*c.rng.Float64()))
	time.AfterFunc(ready, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.goneAt.IsZero() && c.all[m.name] == m {
			_ = c.boot(m) // without a port it is one that never comes up
		}
	})
	return m
}

func (c *Cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var b struct{ Hives []string }
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Hives) > 100 {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	var dead []*rented
	for _, n := range b.Hives {
		if m := c.all[n]; m != nil && m.goneAt.IsZero() {
			m.goneAt = time.Now().Add(c.lag)
			dead = append(dead, m)
		}
	}
	c.mu.Unlock()
	for _, m := range dead {
		c.end(m)
	}
	answer(w, http.StatusOK, object{})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("From")
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	hives := []object{}
	for n, m := range c.all {
		if n <= from || now.Before(m.listedAt) || !m.goneAt.IsZero() && now.After(m.goneAt) {
			continue
		}
		h := object{"NameId": n, "Addr": "", "Breed": m.kind.Label, "Yard": m.yard, "SwarmBoxes": m.spot, "Stage": "starting",
			"HeldS": now.Add(-c.lag).Sub(m.since).Seconds()}
		if m.addr != "" {
			h["Stage"], h["Addr"] = "running", m.addr
		}
		hives = append(hives, h)
	}
	sort.Slice(hives, func(i, j int) bool { return hives[i]["NameId"].(string) < hives[j]["NameId"].(string) })
	cut := min(len(hives), 500)
	answer(w, http.StatusOK, object{"Hives": hives[:cut], "Truncated": cut < len(hives)})
}
