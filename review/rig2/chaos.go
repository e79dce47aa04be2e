package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"honeylock/internal/standin"
)

func init() { cases["chaos"] = chaosCase }

type userJob struct {
	*job
	mu         sync.Mutex
	asked      time.Duration
	accepted   time.Duration
	told       string // done or aborted
	toldAt     time.Duration
	cancelAt   time.Duration // 0: not cancelled
	cancelSent time.Duration
	lastAnswer time.Duration
	lastStage  string
}

type chaosRun struct {
	*cluster
	rng        *rand.Rand
	mu         sync.Mutex
	jobs       map[string]*userJob
	order      []string
	violations []string
	zoneOf     map[string]string
	spotOf     map[string]bool
	heldUntil  [8]time.Time // requests of this controller to the state service are held back until then
	lateShare  float64
	lateCmds   float64
	lateBeats  float64
	loseShare  float64
	slow       time.Duration
}

func (k *chaosRun) violate(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := fmt.Sprintf(format, args...)
	k.violations = append(k.violations, s)
	k.logf("VIOLATION %s", s)
}

func (k *chaosRun) see(u *userJob, n *controller, sent time.Duration, status int, s state, what string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if status == 404 && u.accepted != 0 && sent > u.accepted {
		k.violate("forgotten: %s of %s at %s got 404", what, u.NameId, n.name)
	}
	if (status == 400 || status == 422) && what == "submit" && u.accepted != 0 {
		k.violate("forgotten: repeated submission of %s got %d", u.NameId, status)
	}
	if status != 200 && status != 201 {
		return
	}
	now := k.at()
	if u.accepted == 0 {
		u.accepted = now
	}
	u.lastAnswer, u.lastStage = now, s.Stage
	if u.told != "" && sent > u.toldAt && s.Stage != u.told {
		k.violate("went_back: %s called %s by %s, after %s at %.3f", u.NameId, s.Stage, n.name, u.told, u.toldAt.Seconds())
	}
	if u.told == "" && (s.Stage == "done" || s.Stage == "aborted") {
		u.told, u.toldAt = s.Stage, now
		if s.Stage == "aborted" && u.cancelSent == 0 {
			ok := false
			for _, d := range u.Awaits {
				k.mu.Lock()
				p := k.jobs[d]
				k.mu.Unlock()
				p.mu.Lock()
				ok = ok || p.cancelSent != 0 || p.told == "aborted" || p.told == ""
				p.mu.Unlock()
			}
			if !ok {
				k.violate("went_back: %s called aborted, nobody cancelled it", u.NameId)
			}
		}
		if s.Stage == "done" {
			done := map[string]bool{}
			for _, r := range k.tasks.Runs() {
				if strings.HasPrefix(r.Task, u.NameId+"/") && r.Cause == "done" {
					done[r.Task] = true
				}
			}
			if len(done) < u.Cells {
				k.violate("not_done: %s called done with %d of %d", u.NameId, len(done), u.Cells)
			}
		}
	}
}

func (k *chaosRun) user(u *userJob, rng *rand.Rand, end time.Duration) {
	node := rng.IntN(len(k.controllers))
	pick := func() *controller {
		for range 6 {
			if n := k.controllers[node%len(k.controllers)]; n.alive() {
				return n
			}
			node++
		}
		return k.controllers[node%len(k.controllers)]
	}
	for k.at() < end {
		n := pick()
		sent := k.at()
		status, s := k.submitTo(n, u.job)
		k.see(u, n, sent, status, s, "submit")
		if status == 200 || status == 201 {
			break
		}
		if status == 422 || status == 400 {
			k.violate("submission of %s got %d", u.NameId, status)
			return
		}
		node++
		time.Sleep(time.Second)
	}
	next := k.at()
	for k.at() < end {
		time.Sleep(50 * time.Millisecond)
		u.mu.Lock()
		cancel := u.cancelAt != 0 && k.at() > u.cancelAt && u.told == ""
		told := u.told
		u.mu.Unlock()
		if cancel {
			n := pick()
			sent := k.at()
			u.mu.Lock()
			if u.cancelSent == 0 {
				u.cancelSent = sent
			}
			u.mu.Unlock()
			status, s := k.withdraw(n, u.NameId)
			k.see(u, n, sent, status, s, "withdraw")
			if status != 200 {
				node++
				time.Sleep(time.Second)
			}
			continue
		}
		if k.at() >= next {
			pause := 5 * time.Second
			if told != "" {
				pause = 15 * time.Second
			}
			next = k.at() + pause*4/5 + time.Duration(rng.Int64N(int64(pause*2/5)))
			n := pick()
			sent := k.at()
			status, s := k.poll(n, u.NameId)
			k.see(u, n, sent, status, s, "poll")
			if status != 200 || rng.IntN(4) == 0 {
				node++
			}
		}
	}
}

func chaosCase(r *record, trouble bool) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 7))
	o := registry()
	o.peerProxies = true
	o.machines = []machineGroup{{0, "almaty-east", false, 2}, {0, "almaty-west", false, 2}, {0, "astana-dc", true, 2}}
	o.types[0].MaxPerZone = 4
	o.types[0].ReadyS = 4
	o.types = append(o.types, standin.MachineType{Label: "tulpar-sixtyfour", Cpus: 64, MemGb: 256, LocalGb: 60, PullGbPerS: 0.6,
		Hourly: 3.42, MarketPrice: 0.94, ReadyS: 8, MaxPerZone: 1, Yards: []string{"almaty-east", "astana-dc"}})
	o.teams = teamTOML("artisan-desk", 100, 150) + teamTOML("payments-office", 60, 90) + teamTOML("catalogue-unit", 60, 200) +
		teamTOML("audit-cell", 20, 60)
	calmAt, endAt := 110*time.Second, 215*time.Second
	if os.Getenv("SITE") == "alwusta" {
		o.reportS, o.leaseS, o.cancelS, o.cloudRPS = 3, 42, 67, 4
		o.limits = standin.StoreLimits{RPS: 80, WriteRPS: 25, ValueKB: 32, TxnOps: 20}
		o.cpu, o.memMB, o.fdLimit = 0.12, 342, 4000
		calmAt, endAt = 170*time.Second, 400*time.Second
	}
	k := &chaosRun{rng: rng, jobs: map[string]*userJob{}, zoneOf: map[string]string{}, spotOf: map[string]bool{}}
	var hook sync.Mutex
	hrng := rand.New(rand.NewPCG(seed, 9))
	o.onStore = func(node int, method, path, query string, _ []byte) (v verdictOnStore) {
		hook.Lock()
		defer hook.Unlock()
		share := 0.01
		if os.Getenv("HEAVY") != "" {
			share = 0.15
		}
		if hrng.Float64() < share {
			v.after = time.Duration(100+hrng.IntN(300)) * time.Millisecond
		}
		v.before += k.slow
		if hold := time.Until(k.heldUntil[node]); hold > 0 && path != "/watch" {
			v.before = hold + time.Duration(hrng.IntN(50))*time.Millisecond
		}
		if path == "/txn" && hrng.Float64() < k.lateShare {
			v.before = time.Duration(2000+hrng.IntN(10000)) * time.Millisecond
			v.loseAnswer = true
		}
		if path == "/txn" && hrng.Float64() < k.loseShare {
			v.loseAnswer = true
		}
		return v
	}
	wire := func(share *float64, most int) func() verdictOnWire {
		return func() (v verdictOnWire) {
			hook.Lock()
			defer hook.Unlock()
			if hrng.Float64() < *share {
				v.late = time.Duration(1000+hrng.IntN(most)) * time.Millisecond
				v.loseAnswer = hrng.IntN(2) == 0
			}
			return v
		}
	}
	o.onReport, o.onCommand = wire(&k.lateBeats, 12000), wire(&k.lateCmds, 15000)
	if seed%3 == 0 {
		o.controllers = 5
	}
	c, err := start(o, r, seed)
	k.cluster = c
	defer c.close()
	if err != nil {
		return false, err
	}
	for name, limit := range map[string]float64{"artisan-desk": 150, "payments-office": 90, "catalogue-unit": 200, "audit-cell": 60} {
		c.tasks.LimitCPUs[name] = limit
	}
	if err := c.waitFor("health", 10*time.Second, func() bool { return c.healthy(c.controllers[0]) }); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	stopWatch := make(chan struct{})
	go func() {
		for {
			select {
			case <-stopWatch:
				return
			case <-time.After(200 * time.Millisecond):
			}
			k.mu.Lock()
			for _, w := range c.cloud.Workers() {
				k.zoneOf[w.Name], k.spotOf[w.Name] = w.Zone, w.Spot
			}
			k.mu.Unlock()
		}
	}()
	// users
	wg.Add(1)
	go func() {
		defer wg.Done()
		teams := []string{"artisan-desk", "payments-office", "catalogue-unit", "audit-cell"}
		ranks := []string{"idle", "standard", "urgent", "prod"}
		urng := rand.New(rand.NewPCG(seed, 11))
		for id := 1; k.at() < calmAt+20*time.Second; id++ {
			cells := 1 + urng.IntN(8)
			run := 3 + 25*urng.Float64()
			j := newJob(urng.IntN(900000)+1000+id, "photo-thumbnails", teams[urng.IntN(4)], ranks[urng.IntN(4)], cells,
				float64(int(1)<<urng.IntN(3)), run)
			j.SwarmBoxes = urng.IntN(2) == 0
			switch urng.IntN(8) {
			case 0:
				j.Together = true
			case 1:
				j.Spread = true
			case 2:
				z := o.zones[urng.IntN(3)]
				j.Yard = &z
			case 3:
				if j.Cpus <= 4 {
					j.Shape = "daemon"
					j.Cells = 1 + urng.IntN(3)
				}
			case 4:
				j.CapIntervalS, j.CapS = 5, 1
			}
			u := &userJob{job: j, asked: k.at()}
			k.mu.Lock()
			if _, dup := k.jobs[j.NameId]; dup {
				k.mu.Unlock()
				continue
			}
			if urng.IntN(3) == 0 && len(k.order) > 3 {
				for range 1 + urng.IntN(2) {
					d := k.jobs[k.order[len(k.order)-1-urng.IntN(min(10, len(k.order)))]]
					d.mu.Lock()
					if d.accepted != 0 && d.Shape == "batch" {
						u.Awaits = append(u.Awaits, d.NameId)
					}
					d.mu.Unlock()
				}
			}
			k.jobs[j.NameId] = u
			k.order = append(k.order, j.NameId)
			k.mu.Unlock()
			if j.Shape == "daemon" || urng.IntN(4) == 0 {
				u.cancelAt = k.at() + time.Duration(urng.Int64N(int64(30*time.Second)))
				if urng.IntN(3) == 0 {
					u.cancelAt = k.at() + 10*time.Millisecond
				}
			}
			wg.Add(1)
			seedu := urng.Uint64()
			go func() {
				defer wg.Done()
				k.user(u, rand.New(rand.NewPCG(seedu, 1)), endAt)
			}()
			time.Sleep(time.Duration(urng.Int64N(int64(4 * time.Second))))
		}
	}()
	for i := 0; os.Getenv("HEAVY") != "" && i < 260; i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			j := newJob(100000+3571*i%800000, "photo-thumbnails", "catalogue-unit", "idle", 1, 0.1, 1000)
			_ = c.submit(i, j)
		}()
	}
	if os.Getenv("SLOW") != "" {
		for _, l := range c.links {
			l.SetDelay(time.Duration(50+rng.IntN(350)) * time.Millisecond)
		}
	}
	// troubles
	time.Sleep(10 * time.Second)
	var twg sync.WaitGroup
	for trouble && k.at() < calmAt-25*time.Second {
		k.oneTrouble(&twg, rng, &hook, calmAt)
		time.Sleep(time.Duration(rng.Int64N(int64(9 * time.Second))))
	}
	twg.Wait()
	k.logf("troubles over")
	hook.Lock()
	k.lateShare, k.loseShare, k.slow, k.lateCmds, k.lateBeats = 0, 0, 0, 0, 0
	hook.Unlock()
	wg.Wait()
	close(stopWatch)
	k.checkEnd(calmAt, endAt)
	for _, v := range c.tasks.Violations() {
		k.violate("registry: %s", v)
	}
	return len(k.violations) > 0, nil
}

func (k *chaosRun) oneTrouble(wg *sync.WaitGroup, rng *rand.Rand, hook *sync.Mutex, calm time.Duration) {
	c := k.cluster
	n := c.controllers[rng.IntN(len(c.controllers))]
	if l := c.leader(); l != nil && rng.IntN(2) == 0 {
		n = l
	}
	d := time.Duration(1000+rng.Int64N(20000)) * time.Millisecond
	d = min(d, max(time.Second, calm-k.at()))
	later := func(f func()) {
		wg.Add(1)
		go func() { time.Sleep(d); f(); wg.Done() }()
	}
	restart := []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second, 6 * time.Second}
	kinds := 20
	if os.Getenv("HEAVY") != "" {
		kinds = 9
	}
	switch what := rng.IntN(kinds); what {
	case 0, 1:
		c.kill(n)
		d = restart[rng.IntN(len(restart))]
		later(func() {
			if !n.alive() {
				_ = c.launch(n)
			}
		})
	case 2:
		k.logf("trouble: all controllers end")
		for _, x := range c.controllers {
			c.kill(x)
			x := x
			e := restart[rng.IntN(len(restart))]
			wg.Add(1)
			time.AfterFunc(e, func() {
				if !x.alive() {
					_ = c.launch(x)
				}
				wg.Done()
			})
		}
	case 3:
		c.signal(n, syscall.SIGSTOP)
		later(func() { c.signal(n, syscall.SIGCONT) })
	case 4:
		k.logf("trouble: outage of the state service for %v", d)
		c.store.SetOutage(true)
		later(func() { c.store.SetOutage(false); k.logf("outage over") })
	case 5:
		k.logf("trouble: %s refused for %v", n.name, d)
		c.endpoints[n.index].SetRefusing(true)
		later(func() { c.endpoints[n.index].SetRefusing(false); k.logf("%s refused no more", n.name) })
	case 6:
		k.logf("trouble: late writes for %v", d)
		hook.Lock()
		k.lateShare = 0.2
		hook.Unlock()
		later(func() { hook.Lock(); k.lateShare = 0; hook.Unlock() })
	case 7:
		k.logf("trouble: lost answers for %v", d)
		hook.Lock()
		k.loseShare = 0.3
		hook.Unlock()
		later(func() { hook.Lock(); k.loseShare = 0; hook.Unlock() })
	case 8:
		k.logf("trouble: peers of %s cut for %v", n.name, d)
		set := func(on bool) {
			for key, p := range c.links {
				if key[0] == n.index || key[1] == n.index {
					p.SetPartitioned(on)
				}
			}
		}
		set(true)
		both := rng.IntN(2) == 0
		if both {
			k.logf("and from the state service")
			c.endpoints[n.index].SetRefusing(true)
		}
		later(func() {
			set(false)
			if both {
				c.endpoints[n.index].SetRefusing(false)
			}
			k.logf("cut over")
		})
	case 9, 10, 11, 12:
		ws := c.cloud.Workers()
		if len(ws) == 0 {
			return
		}
		for range 1 + rng.IntN(3) {
			w := ws[rng.IntN(len(ws))]
			e := time.Duration(1000+rng.Int64N(25000)) * time.Millisecond
			switch what {
			case 9:
				e = min(e, seconds(c.leaseS*0.8))
				k.logf("trouble: %s hangs for %v", w.Name, e)
				w.Hang(e)
			case 10:
				k.logf("trouble: %s is deaf for %v", w.Name, e)
				w.LoseInbound(e)
			case 11:
				k.logf("trouble: %s is mute for %v", w.Name, e)
				w.LoseOutbound(e)
			case 12:
				k.logf("trouble: reports of %s come again", w.Name)
				w.ReplayReports(time.Duration(2000+rng.Int64N(3000))*time.Millisecond, time.Duration(8000+rng.Int64N(12000))*time.Millisecond)
				wg.Add(1)
				time.AfterFunc(e, func() { w.ReplayReports(); wg.Done() })
			}
		}
	case 13:
		ws := c.cloud.Workers()
		if len(ws) > 0 {
			w := ws[rng.IntN(len(ws))]
			k.logf("trouble: %s fails", w.Name)
			c.cloud.FailMachine(w.Name)
		}
	case 15, 16:
		k.logf("trouble: late commands for %v", d)
		hook.Lock()
		k.lateCmds = 0.4
		hook.Unlock()
		later(func() { hook.Lock(); k.lateCmds = 0; hook.Unlock() })
	case 18, 19:
		d *= 2
		d = min(d, max(time.Second, calm-k.at()))
		k.logf("trouble: what %s sends to the state service is held back for %v", n.name, d)
		hook.Lock()
		k.heldUntil[n.index] = time.Now().Add(d)
		hook.Unlock()
		if what == 19 {
			k.logf("and what it exchanges with the others")
			for key, p := range c.links {
				if key[0] == n.index || key[1] == n.index {
					p.SetPartitioned(true)
				}
			}
		}
		later(func() {
			for key, p := range c.links {
				if key[0] == n.index || key[1] == n.index {
					p.SetPartitioned(false)
				}
			}
		})
	case 17:
		k.logf("trouble: late reports for %v", d)
		hook.Lock()
		k.lateBeats = 0.15
		hook.Unlock()
		later(func() { hook.Lock(); k.lateBeats = 0; hook.Unlock() })
	case 14:
		k.logf("trouble: the state service is slow for %v", d)
		hook.Lock()
		k.slow = 40 * time.Millisecond
		hook.Unlock()
		later(func() { hook.Lock(); k.slow = 0; hook.Unlock() })
	}
}

func (k *chaosRun) checkEnd(calm, end time.Duration) {
	runs := k.tasks.Runs()
	first := map[string]time.Duration{}
	since := func(t time.Time) time.Duration { return t.Sub(k.began) }
	type live struct {
		start, end time.Duration
		zone       string
	}
	byJob := map[string][]live{}
	doneAt := map[string]time.Duration{}
	for _, r := range runs {
		name, _, _ := strings.Cut(r.Task, "/")
		u := k.jobs[name]
		if u == nil {
			continue // one of the many that only wait
		}
		s, e := since(r.StartedAt), end
		if !r.EndedAt.IsZero() {
			e = since(r.EndedAt)
		}
		if first[name] == 0 || s < first[name] {
			first[name] = s
		}
		if r.Cause == "done" {
			doneAt[name] = max(doneAt[name], e)
		}
		zone := k.zoneOf[r.Machine]
		if zone != "" {
			if u.Yard != nil && *u.Yard != zone || k.spotOf[r.Machine] && !u.SwarmBoxes {
				k.violate("wrong_place: %s on %s", r.Task, r.Machine)
			}
			byJob[name] = append(byJob[name], live{s, e, zone})
		}
		if u.told == "aborted" {
			if limit := u.toldAt + seconds(k.cancelS); e > limit {
				k.violate("ran_cancelled: %s on %s until %.1f, told at %.1f", r.Task, r.Machine, e.Seconds(), u.toldAt.Seconds())
			}
			if s > u.toldAt {
				k.logf("note: %s starts on %s %.1f s after its user was told of the cancellation", r.Task, r.Machine, (s - u.toldAt).Seconds())
			}
		}
	}
	for name, ls := range byJob {
		u := k.jobs[name]
		for _, a := range ls {
			same, total := 1, 1
			for _, b := range ls {
				if b.start < a.start && b.end > a.start {
					total++
					if b.zone == a.zone {
						same++
					} else if u.Together {
						k.violate("wrong_place: %s in two zones", name)
					}
				}
			}
			if u.Spread && same > (u.Cells+1)/2 {
				k.violate("wrong_place: %s has %d of %d in one zone", name, same, u.Cells)
			}
		}
	}
	for name, u := range k.jobs {
		for _, d := range u.Awaits {
			p := k.jobs[d]
			if f := first[name]; f != 0 && (p.told != "done" && len(doneTasks(runs, d)) < p.Cells || doneAt[d] > f) {
				k.violate("too_early: %s began at %.1f, %s not done", name, f.Seconds(), d)
			}
		}
		if u.accepted != 0 && end-u.lastAnswer > 75*time.Second {
			k.violate("forgotten: %s last answered at %.1f (%s)", name, u.lastAnswer.Seconds(), u.lastStage)
		}
		if u.accepted != 0 && u.told == "" && u.cancelAt == 0 {
			k.violate("unfinished: %s is %s at the end, accepted at %.1f, awaits %v, shape %s", name, u.lastStage, u.accepted.Seconds(), u.Awaits, u.Shape)
		}
		if u.accepted == 0 {
			k.logf("note: %s never accepted, asked at %.1f", name, u.asked.Seconds())
		}
	}
	accepted, done, aborted := 0, 0, 0
	for _, u := range k.jobs {
		if u.accepted != 0 {
			accepted++
		}
		switch u.told {
		case "done":
			done++
		case "aborted":
			aborted++
		}
	}
	k.logf("jobs %d accepted %d done %d aborted %d", len(k.jobs), accepted, done, aborted)
}

func doneTasks(runs []standin.Run, job string) map[string]bool {
	done := map[string]bool{}
	for _, r := range runs {
		if strings.HasPrefix(r.Task, job+"/") && r.Cause == "done" {
			done[r.Task] = true
		}
	}
	return done
}
