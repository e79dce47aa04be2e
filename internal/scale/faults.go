package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// FaultKind is a kind of fault that a run can inject.
type FaultKind string

// The kinds of faults.
const (
	LeaderKilled         FaultKind = "leader-ends"         // the leader is killed and restarted
	ControllerKilled     FaultKind = "controller-restarts" // a controller that does not lead is killed and restarted
	RackLoss             FaultKind = "rack-gone"           // rackSize workers of one zone stop at the same time
	ZoneLost             FaultKind = "zone-lost"           // a zone's workers and controllers stop for good
	AllControllersKilled FaultKind = "all-controllers-end" // all controllers are killed at the same time and restarted
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{LeaderKilled, ControllerKilled, RackLoss, ZoneLost, AllControllersKilled}

const (
	restartDelay = 3 * time.Second  // from the kill of a controller to its restart
	rackSize     = 40               // workers behind one switch
	faultWindow  = 30 * time.Second // length of the window that begins with a fault
)

// Fault is a fault that is injected into the first region.
type Fault struct{ Kind FaultKind }

// ParseFault returns the fault of the given name.
func ParseFault(name string) (Fault, error) {
	if kind := FaultKind(name); slices.Contains(FaultKinds, kind) {
		return Fault{kind}, nil
	}
	var names []string
	for _, kind := range FaultKinds {
		names = append(names, string(kind))
	}
	return Fault{}, fmt.Errorf("unknown fault %q: must be one of %s", name, strings.Join(names, ", "))
}
