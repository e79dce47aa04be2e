package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"honeylock/internal/standin"
)

func init() { cases["tiny"] = tinyCase }

// tinyCase: a job of the highest priority, within its team's guarantee, runs while one huge array of tiny
// tasks of another team arrives. Nothing fails. The job must be done in time all the same.
func tinyCase(r *record, trouble bool) (bool, error) {
	o := registry()
	o.types = append(o.types, standin.MachineType{Label: "tulpar-sixtyfour", Cpus: 64, MemGb: 256, LocalGb: 60, PullGbPerS: 0.6,
		Hourly: 3.42, MarketPrice: 0.94, ReadyS: 50, Yards: []string{"almaty-east", "almaty-west", "astana-dc"}})
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
	wages := newJob(17, "listing-review", "payments-office", "prod", 6, 4, 92)
	if err := c.submit(0, wages); err != nil {
		return false, err
	}
	asked := c.at()
	time.Sleep(4 * time.Second)
	if trouble {
		if err := c.submit(1, newJob(400, "carpet-atlas", "catalogue-unit", "idle", 20000, 0.04, 35)); err != nil {
			return false, err
		}
	}
	inspected := false
	for c.at() < 112*time.Second {
		time.Sleep(4 * time.Second)
		status, s := c.poll(c.controllers[0], wages.NameId)
		if status == 200 && s.Stage == "done" {
			r.logf("%s is done %.1f s after its submission", wages.NameId, (c.at() - asked).Seconds())
			return false, nil
		}
		c.poll(c.controllers[1], "job-000400")
		r.logf("%d tasks run", c.tasks.TotalRunning())
		if c.at() > 24*time.Second && !inspected {
			inspected = true
			c.logReportSizes()
		}
	}
	killed := 0
	for _, run := range c.tasks.Runs() {
		if strings.HasPrefix(run.Task, wages.NameId+"/") {
			ended := "still runs"
			if !run.EndedAt.IsZero() {
				ended = fmt.Sprintf("%s at %.1f", run.Cause, run.EndedAt.Sub(r.began).Seconds())
			}
			r.logf("%s attempt %d on %s since %.1f: %s", run.Task, run.Attempt, run.Machine, run.StartedAt.Sub(r.began).Seconds(), ended)
			if run.Cause == "killed" {
				killed++
			}
		}
	}
	if killed == 0 {
		return false, fmt.Errorf("%w: the job is late, but no worker's lease ended", errSetup)
	}
	r.logf("%s was accepted %.1f s ago and is not done; its tasks were killed %d times when leases ended", wages.NameId,
		(c.at() - asked).Seconds(), killed)
	return true, nil
}

// logReportSizes records how large the workers' reports are.
func (c *cluster) logReportSizes() {
	for _, w := range c.cloud.Workers() {
		res, err := c.users.Get("http://" + w.Addr() + "/inspect")
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(res.Body)
		res.Body.Close()
		c.logf("the report of %s lists %d tasks and takes %d bytes", w.Name, strings.Count(string(b), `"Cell":`), len(b))
	}
}
