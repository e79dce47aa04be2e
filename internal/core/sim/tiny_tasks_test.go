package sim

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// maxMessageBytes is what a report, or a message with commands, may hold.
const maxMessageBytes = 64 << 10

// attemptBytes returns how long an attempt is in a report, at least; a command for it takes no less.
func attemptBytes(t model.Task, attempt uint64) int {
	return len(`{"Cell":"job-000000/","Brood":,"Stage":"running"},`) + len(strconv.Itoa(int(t.Index))) +
		len(strconv.FormatUint(attempt, 10))
}

// reportTooLong reports whether a report is longer than a message may be: then it can't be sent.
func reportTooLong(r *model.Report) bool {
	size := 0
	for i := range r.Attempts {
		size += attemptBytes(r.Attempts[i].Task, r.Attempts[i].Attempt)
	}
	return size > maxMessageBytes
}

// checkCommandsFit checks that commands fit into one message.
func (w *world) checkCommandsFit(m *machine, cmds []model.Command) {
	size := 0
	for i := range cmds {
		size += attemptBytes(cmds[i].Task, cmds[i].Attempt)
	}
	if size > maxMessageBytes {
		w.fail("message_too_long", "%d commands for %s take %d bytes", len(cmds), m.host, size)
	}
}

// shapeTinyTasks makes some jobs arrays of tiny tasks, of which thousands would fit on a machine.
func (w *world) shapeTinyTasks(sp *model.Spec) {
	if sp.ID%10 != 3 {
		return
	}
	sp.Tasks, sp.PerTask, sp.Rank, sp.BestEffort = 3000, model.Request(0.004, 0, 0.004), model.Idle, true
	sp.SameZone, sp.Spread, sp.Zone, sp.Spot = false, false, model.None, true
	sp.Estimate = w.randomDuration(5*time.Second, 15*time.Second)
}

// tinyTasksParams has arrays of tiny tasks beside other jobs, on few machines.
func tinyTasksParams() params {
	p := shortLeaseParams()
	p.tinyTasks, p.checkWaiting = true, true
	p.machines, p.jobs, p.quietPeriod = 6, 30, 5*time.Minute
	return p
}

// TestTinyTasksLeaveRoomForOthers guards against machines with so many tiny tasks that their reports are too long
// to be sent: all leases ended again and again, and no accepted job on these machines was ever done. It also
// guards against jobs that wait beside free capacity because of them.
func TestTinyTasksLeaveRoomForOthers(t *testing.T) {
	t.Parallel()
	quiet, faulty := tinyTasksParams(), tinyTasksParams()
	quiet.faults = false
	for name, p := range map[string]params{"quiet": quiet, "faults": faulty} {
		for seed := range seedCount(3) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				w := runSimulation(t, seed, p)
				if w.mostAttempts < model.AttemptsPerMachine*9/10 {
					t.Errorf("no machine had more than %d attempts", w.mostAttempts)
				}
			})
		}
	}
}
