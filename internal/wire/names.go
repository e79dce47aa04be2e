package wire

import (
	"fmt"
	"strconv"

	"honeylock/internal/core/model"
)

// Table maps names to dense indices. It is not safe for concurrent use.
type Table struct {
	ids   map[string]model.Name
	names []string
}

// NewTable returns a table that starts with the given names, in their order.
func NewTable(names ...string) *Table {
	t := &Table{ids: map[string]model.Name{}}
	for _, n := range names {
		t.ID(n)
	}
	return t
}

// ID returns the index of a name, and adds the name if it is new.
func (t *Table) ID(name string) model.Name {
	if id, ok := t.ids[name]; ok {
		return id
	}
	id := model.Name(len(t.names))
	t.ids[name] = id
	t.names = append(t.names, name)
	return id
}

// Lookup returns the index of a name, and whether the table has it.
func (t *Table) Lookup(name string) (model.Name, bool) {
	id, ok := t.ids[name]
	return id, ok
}

// Name returns the name of an index, "" if there is none.
func (t *Table) Name(id model.Name) string {
	if id < 0 || int(id) >= len(t.names) {
		return ""
	}
	return t.names[id]
}

// parseNumbered parses names such as job-000412. It accepts only one spelling of each
// number, so that two names never refer to the same job or machine.
func parseNumbered(prefix, s string) (uint64, error) {
	if len(s) < len(prefix)+6 || s[:len(prefix)] != prefix {
		return 0, fmt.Errorf("%q is not of the form %s000000", s, prefix)
	}
	digits := s[len(prefix):]
	n, err := strconv.ParseUint(digits, 10, 63)
	if err != nil || len(digits) > 6 && digits[0] == '0' {
		return 0, fmt.Errorf("%q is not of the form %s000000", s, prefix)
	}
	return n, nil
}

// formatNumbered returns a name such as job-000412. It runs for every name that is
// sent. It avoids fmt, which took 5% of a controller's CPU time.
func formatNumbered(prefix string, n uint64) string {
	b := append(make([]byte, 0, 24), prefix...)
	for threshold := uint64(100_000); threshold > max(n, 1); threshold /= 10 {
		b = append(b, '0')
	}
	return string(strconv.AppendUint(b, n, 10))
}

// ParseJob parses a job's name.
func ParseJob(s string) (model.JobID, error) {
	n, err := parseNumbered("job-", s)
	return model.JobID(n), err
}

// JobName returns the name of a job.
func JobName(id model.JobID) string { return formatNumbered("job-", uint64(id)) }

// ParseMachine parses a machine's name.
func ParseMachine(s string) (model.MachineID, error) {
	n, err := parseNumbered("m-", s)
	return model.MachineID(n), err
}

// MachineName returns the name of a machine.
func MachineName(id model.MachineID) string { return formatNumbered("m-", uint64(id)) }

// Names holds the tables of one process.
type Names struct {
	Teams, Types, Zones, Images, Classes *Table
	// ObjectiveClasses are the job classes with a service level objective. If it is empty, all
	// classes are treated alike.
	ObjectiveClasses map[model.Name]bool
	// GuaranteedTeams are the teams with a guarantee.
	GuaranteedTeams map[model.Name]bool
}

// IsBestEffort reports whether jobs of a class and team may wait for idle machines:
// their class has no objective while others have one, and their team has no guarantee.
func (n *Names) IsBestEffort(class, team model.Name) bool {
	return len(n.ObjectiveClasses) > 0 && !n.ObjectiveClasses[class] && !n.GuaranteedTeams[team]
}
