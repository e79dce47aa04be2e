package wire

import (
	"slices"
	"strings"
	"testing"

	"honeylock/internal/core/model"
)

const submissionTemplate = `{"NameId":"job-000412","Comb":"c","Colony":"t","Shape":"batch","Rank":"idle","Cells":1,"Cpus":1,
	"Accelerators":0,"MemGb":1,"Wax":"i","ImageGb":1,"Together":false,"Spread":false,"SwarmBoxes":false,"ForageS":1,
	"CapIntervalS":0,"CapS":0,"Awaits":AWAITS}`

func TestDependencies(t *testing.T) {
	for in, want := range map[string][]model.JobID{
		`null`: nil, `[]`: nil, `["job-000398","job-1234567","job-000398"]`: {398, 1234567},
	} {
		s, err := ParseSubmission([]byte(strings.Replace(submissionTemplate, "AWAITS", in, 1)))
		if err != nil || !slices.Equal(s.Dependencies(), want) {
			t.Errorf("%s: %v, %v", in, s.Dependencies(), err)
		}
	}
	for in, field := range map[string]string{
		`["job-000398","job-1"]`: "Awaits[1]", `["job-000412"]`: "Awaits[0]", `"job-000398"`: "malformed", `[3]`: "malformed",
	} {
		_, err := ParseSubmission([]byte(strings.Replace(submissionTemplate, "AWAITS", in, 1)))
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v does not name %s", in, err, field)
		}
	}
}
