package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func almatyLike() params {
	return params{controllers: 3, machines: 9, jobs: 60, report: time.Second, lease: 10 * time.Second, cancel: 40 * time.Second,
		ttl: 4 * time.Second, staleness: 25 * time.Second, length: 4 * time.Minute, faults: true}
}

func longLease() params {
	p := almatyLike()
	p.report, p.lease, p.cancel = 3*time.Second, 42*time.Second, 67*time.Second
	p.staleness, p.length = 21*time.Second, 6*time.Minute
	return p
}

// grown has many machines behind few controllers, with workers that report
// seldom.
func grown() params {
	p := longLease()
	p.controllers, p.machines, p.jobs, p.report, p.length = 5, 120, 400, 8*time.Second, 4*time.Minute
	return p
}

// visited has guests: arrays of many small tasks, swarms of single ones, and jobs
// that fail on every machine until their users cancel them.
func visited() params {
	p := almatyLike()
	p.guests, p.jobs, p.controllers = true, 80, 5
	return p
}

// play plays a day on which no rule may break.
func play(t *testing.T, seed uint64, p params) *world {
	t.Helper()
	w := newWorld(seed, p)
	w.accountingAt = 0
	w.run()
	if len(w.broken) > 0 {
		t.Fatalf("%s\n%s", strings.Join(w.broken, "\n"), strings.Join(w.log, "\n"))
	}
	if w.started == 0 {
		t.Fatal("no task was started")
	}
	return w
}

// breaks plays days until one breaks a rule, as one must with a guard broken.
func breaks(t *testing.T, days uint64, first uint64, p params) {
	t.Helper()
	for seed := range days {
		w := newWorld(first+seed, p)
		w.run()
		if len(w.broken) > 0 {
			t.Logf("seed %d: %s", seed, w.broken[0])
			return
		}
	}
	t.Fatal("no day broke a rule: the checks see nothing")
}

// TestRulesHold plays random days with every kind of failure; no rule may break.
func TestRulesHold(t *testing.T) {
	t.Parallel()
	for name, p := range map[string]params{"short lease": almatyLike(), "long lease": longLease(), "grown": grown(), "visited": visited()} {
		seeds := uint64(25)
		if name == "grown" || name == "visited" {
			seeds = 6
		}
		for seed := range seeds {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				play(t, seed, p)
			})
		}
	}
}

// TestQuietDayCompletes: without failures all jobs end, each task is started
// hardly more than once, and nobody waits for ever.
func TestQuietDayCompletes(t *testing.T) {
	t.Parallel()
	for name, p := range map[string]params{"short lease": almatyLike(), "visited": visited()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.faults = false
			p.rest = time.Minute // the last tasks may have begun late
			w := newWorld(1, p)
			w.run()
			if len(w.broken) > 0 {
				t.Fatal(strings.Join(w.broken, "\n"))
			}
			for id, u := range w.users {
				if u.accepted && u.ended == "" {
					t.Errorf("job %d (%+v, fails: %v) has not ended", id, u.spec, u.fails)
				}
			}
		})
	}
}

// TestChecksCatchBrokenGuards proves the checks: with a guard broken, some day
// must break a rule.
func TestChecksCatchBrokenGuards(t *testing.T) {
	t.Parallel()
	for name, breakIt := range map[string]func(*params){
		"a new leader ignores the records of machines": func(p *params) { p.forgetRecords = true },
		"a lost shard's authority is taken for over":   func(p *params) { p.freeOnLoss = true; p.trustOldEnd = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := almatyLike()
			breakIt(&p)
			breaks(t, 60, 0, p)
		})
	}
}
