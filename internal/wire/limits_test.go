package wire

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"honeylock/internal/core/model"
)

// maxMessageBytes is what a request body, and a line of a response to a worker, may hold.
const maxMessageBytes = 64 << 10

// Reports larger than a message may be could not be sent, so that the leases of machines with many tiny tasks
// ended: whatever the names, AttemptsPerMachine attempts fit into a report, and as many commands into an
// answer and into a direct command.
func TestAttemptsPerMachineFitIntoMessages(t *testing.T) {
	name := strings.Repeat("x", 255)
	task := model.Task{Job: math.MaxUint64, Index: 99_999}
	noticeS := 1234.567891234567
	report := reportJSON{Machine: name, Addr: name, Type: name, Zone: name, Session: math.MaxUint64, Seq: math.MaxUint64,
		Token: math.MaxUint64, PreemptionNoticeS: &noticeS}
	var cmds []model.Command
	for range model.AttemptsPerMachine {
		report.Attempts = append(report.Attempts, attemptJSON{Task: TaskName(task), Attempt: math.MaxUint64, Stage: "exited",
			Cause: "stopped"})
		cmds = append(cmds, model.Command{Verb: model.Kill, Task: task, Attempt: math.MaxUint64, Grace: 123456789 * time.Nanosecond})
	}
	for what, message := range map[string]any{
		"report":         report,
		"answer":         ReportAnswer(math.MaxUint64, cmds),
		"direct command": Direct(math.MaxUint64, math.MaxUint64, cmds),
	} {
		encoded, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > maxMessageBytes {
			t.Errorf("a %s takes %d bytes", what, len(encoded))
		}
		t.Logf("a %s takes %d bytes", what, len(encoded))
	}
}
