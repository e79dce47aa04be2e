package main

import (
	"strings"
	"time"

	"honeylock/internal/standin"
)

func init() { cases["slots"] = slotsCase }

// slotsCase: three machines each run 400 tiny tasks and more, which leave a quarter of their CPUs free. A job
// of the highest priority, within its team's guarantee, must begin there.
func slotsCase(r *record, trouble bool) (bool, error) {
	o := registry()
	o.types = append(o.types, standin.MachineType{Label: "tulpar-sixtyfour", Cpus: 64, MemGb: 256, LocalGb: 60, PullGbPerS: 0.6,
		Hourly: 3.42, MarketPrice: 0.94, ReadyS: 50, MaxPerZone: 2, Yards: []string{"almaty-east", "almaty-west", "astana-dc"}})
	o.machines = []machineGroup{{1, "almaty-east", false, 1}, {1, "almaty-west", false, 1}, {1, "astana-dc", false, 1}}
	c, err := start(o, r, 1)
	defer c.close()
	if err != nil {
		return false, err
	}
	if err := c.waitFor("health and a leader", 10*time.Second, func() bool {
		return c.leader() != nil && c.healthy(c.controllers[0]) && c.healthy(c.controllers[1]) && c.healthy(c.controllers[2])
	}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for i := range 3 {
			if err := c.submit(i, newJob(400+i, "motif-probes", "catalogue-unit", "idle", 450, 0.1, 200)); err != nil {
				return false, err
			}
		}
		if err := c.waitFor("the tiny tasks", 15*time.Second, func() bool { return c.tasks.TotalRunning() == 1350 }); err != nil {
			return false, err
		}
	}
	c.logReportSizes()
	wages := newJob(17, "artisan-payouts", "payments-office", "prod", 1, 4, 12)
	if err := c.submit(0, wages); err != nil {
		return false, err
	}
	roomSince := c.at()
	for c.at() < 118*time.Second {
		time.Sleep(time.Second)
		free := map[string]float64{}
		for _, w := range c.cloud.Workers() {
			free[w.Name] = 64
		}
		for _, run := range c.tasks.Runs() {
			switch {
			case strings.HasPrefix(run.Task, wages.NameId+"/"):
				r.logf("%s began on %s", run.Task, run.Machine)
				return false, nil
			case run.EndedAt.IsZero():
				free[run.Machine] -= 0.1
			}
		}
		best := 0.0
		for _, cpus := range free {
			best = max(best, cpus)
		}
		if best < wages.Cpus {
			roomSince = c.at()
		}
		if waited := c.at() - roomSince; waited > 90*time.Second {
			r.logf("%s has waited for %.1f s while machines had room: free CPUs %v", wages.NameId, waited.Seconds(), free)
			return true, nil
		}
		if int(c.at().Seconds())%5 == 0 {
			c.poll(c.controllers[1], wages.NameId)
			r.logf("free CPUs %v", free)
		}
	}
	return false, errSetup
}
