package wire

import (
	"fmt"
	"strconv"

	"honeylock/internal/core/model"
)

// Table gives names dense indices. It is not safe for concurrent use.
type Table struct {
	ids   map[string]model.Name
	names []string
}

// NewTable returns a table that holds the given names first.
func NewTable(names ...string) *Table {
	t := &Table{ids: map[string]model.Name{}}
	for _, n := range names {
		t.ID(n)
	}
	return t
}

// ID returns the index of a name, giving it one if it is new.
func (t *Table) ID(name string) model.Name {
	if id, ok := t.ids[name]; ok {
		return id
	}
	id := model.Name(len(t.names))
	t.ids[name] = id
	t.names = append(t.names, name)
	return id
}

// Lookup returns the index of a name that the table has.
func (t *Table) Lookup(name string) (model.Name, bool) {
	id, ok := t.ids[name]
	return id, ok
}

// Name returns the name of an index.
func (t *Table) Name(id model.Name) string {
	if id < 0 || int(id) >= len(t.names) {
		return ""
	}
	return t.names[id]
}

// parseNumbered parses names such as job-000412. A number has one spelling only, so
// that two names never share an index.
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

// formatNumbered is called for every name that goes out: without fmt, which took a
// twentieth of a controller's time.
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

// JobName is the name of a job.
func JobName(id model.JobID) string { return formatNumbered("job-", uint64(id)) }

// ParseMachine parses a machine's name.
func ParseMachine(s string) (model.MachineID, error) {
	n, err := parseNumbered("m-", s)
	return model.MachineID(n), err
}

// MachineName is the name of a machine.
func MachineName(id model.MachineID) string { return formatNumbered("m-", uint64(id)) }

// Names holds the tables of one process.
type Names struct {
	Teams, Types, Zones, Images, Classes *Table
	// Aimed are the classes of jobs that the users state an aim for. Without
	// any, no class is told from another.
	Aimed map[model.Name]bool
	// Guaranteed are the teams with a guarantee.
	Guaranteed map[model.Name]bool
}

// IsBestEffort tells of work that may wait for idle machines: its class has no stated
// aim, though others have, and its team no guarantee.
func (n *Names) IsBestEffort(class, team model.Name) bool {
	return len(n.Aimed) > 0 && !n.Aimed[class] && !n.Guaranteed[team]
}
