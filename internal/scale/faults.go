package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// FaultKind is what goes wrong.
type FaultKind string

// Kinds of faults.
const (
	LeaderKilled         FaultKind = "leader-ends"         // a region's leader is killed, and started again
	ControllerKilled     FaultKind = "controller-restarts" // another controller is killed, and started again
	RackGone             FaultKind = "rack-gone"           // some workers of one zone stop at once
	ZoneLost             FaultKind = "zone-lost"           // a zone's workers and controllers end at once, for good
	AllControllersKilled FaultKind = "all-controllers-end" // all controllers of a region are killed at once
)

// FaultKinds are all kinds.
var FaultKinds = []FaultKind{LeaderKilled, ControllerKilled, RackGone, ZoneLost, AllControllersKilled}

const (
	restartDelay = 3 * time.Second // a killed controller is started again
	rackSize     = 40              // workers behind one switch
	faultWindow  = 30 * time.Second
)

// Fault of a run. It strikes the first region.
type Fault struct{ Kind FaultKind }

// ParseFault reads a fault's name.
func ParseFault(s string) (Fault, error) {
	if k := FaultKind(s); slices.Contains(FaultKinds, k) {
		return Fault{k}, nil
	}
	var names []string
	for _, k := range FaultKinds {
		names = append(names, string(k))
	}
	return Fault{}, fmt.Errorf("%q is no fault: must be one of %s", s, strings.Join(names, ", "))
}
