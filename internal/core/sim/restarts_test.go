package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// machineRestart is what a machine has lost when it is back within a second.
type machineRestart uint8

const (
	sessionLost  machineRestart = iota // its tasks; it is in its next session
	nothingLost                        // it hung
	tasksLost                          // its tasks; its session, numbers and token go on
	identityLost                       // everything: it begins anew in its first session without a token
)

// String returns the kind's name for the log.
func (k machineRestart) String() string {
	return [...]string{"session lost", "nothing lost", "tasks lost", "identity lost"}[k]
}

// machineQuickRestarts hangs a machine for less than a second, after which it may have lost what
// params.machineRestarts says.
func (w *world) machineQuickRestarts() {
	if w.now > w.params.duration-30*time.Second {
		return
	}
	m := w.workers[w.rng.IntN(len(w.workers))]
	m.hungUntil = max(m.hungUntil, w.now+w.randomDuration(50*time.Millisecond, 900*time.Millisecond))
	kinds := w.params.machineRestarts
	if kinds == nil {
		kinds = []machineRestart{sessionLost, nothingLost}
	}
	kind := kinds[w.rng.IntN(len(kinds))]
	m.restartAs(kind)
	w.logf("fault: %s is back at once in session %d, message %d, %v", m.host, m.session, m.seq, kind)
	w.extendFaults(time.Second)
	if w.params.repeatedCommands {
		w.repeatCommands(m)
	}
	w.after(w.randomDuration(2*time.Second, 20*time.Second), w.machineQuickRestarts)
}

// restartAs has the machine lose what a kind of restart says.
func (m *machine) restartAs(kind machineRestart) {
	switch kind {
	case sessionLost:
		m.nextSession()
	case tasksLost:
		session := m.session
		m.nextSession()
		m.session = session
	case identityLost:
		m.nextSession()
		m.session, m.seq, m.token = 1, 0, 0
	case nothingLost:
	}
}

// executedCommand is a direct command that a machine has carried out.
type executedCommand struct {
	token, session uint64
	commands       []model.Command
}

// maxExecuted is how many direct commands may reach a machine again.
const maxExecuted = 20

// noteExecuted keeps a direct command with launches that the machine carries out.
func (m *machine) noteExecuted(token, session uint64, cmds []model.Command) {
	if !m.w.params.repeatedCommands ||
		!slices.ContainsFunc(cmds, func(c model.Command) bool { return c.Verb == model.Launch }) {
		return
	}
	m.executed = append(m.executed, executedCommand{token, session, cmds})
	if len(m.executed) > maxExecuted {
		m.executed = m.executed[1:]
	}
}

// repeatCommands delivers the direct commands that a machine has carried out up to four times more, from 20 ms
// to three leases later.
func (w *world) repeatCommands(m *machine) {
	for _, e := range m.executed {
		for range 1 + w.rng.IntN(4) {
			d := w.randomDuration(20*time.Millisecond, 3*w.params.lease)
			w.extendFaults(d)
			w.after(d, func() {
				m.handleDirectCommands(e.token, e.session, e.commands, func(_ *model.Report, executed bool) {
					if executed {
						w.observe("a repeated command is executed")
					}
				})
			})
		}
	}
}

// repeatedCommandsParams are runs in which controllers and machines are back within a second, and direct
// commands reach the machines again; tasks are moved and cancelled meanwhile.
func repeatedCommandsParams(kinds ...machineRestart) params {
	p := extraFaultsParams()
	p.repeatedCommands, p.machineRestarts, p.drains = true, kinds, true
	p.quietPeriod = 2 * time.Minute // no longer: drains take machines for good, and some jobs fit on no other
	return p
}

// TestRepeatedCommandsStartNothingAgain guards against tasks that run twice, or after they were cancelled, because
// a copy of a launch that was carried out and answered reaches a machine that was back within a second.
func TestRepeatedCommandsStartNothingAgain(t *testing.T) {
	t.Parallel()
	for _, kind := range []machineRestart{nothingLost, sessionLost, tasksLost, identityLost} {
		for seed := range seedCount(6) {
			t.Run(fmt.Sprintf("%v/%d", kind, seed), func(t *testing.T) {
				t.Parallel()
				runSimulation(t, 30000+seed, repeatedCommandsParams(kind))
			})
		}
	}
}

// TestChecksCatchRepeatedLaunches checks that a launch that a machine carries out again after it has lost its tasks,
// or all that it knew, is noticed.
func TestChecksCatchRepeatedLaunches(t *testing.T) {
	t.Parallel()
	for _, kind := range []machineRestart{tasksLost, identityLost} {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			p := repeatedCommandsParams(kind)
			p.launchDirectly = true
			expectViolation(t, 60, 30000, p)
		})
	}
}
