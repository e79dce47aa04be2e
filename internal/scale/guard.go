package scale

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"github.com/prometheus/procfs"
)

// What processes take, from this run's own slopes (docs/capacity), in MB. They are rounded
// up: the guard refuses rather than that a run is stopped half way.
const (
	controllerMB       = 60.0
	controllerWorkerMB = 0.15 // for each worker that reports to it
	hollowMB           = 60.0
	hollowWorkerMB     = 0.20
	worldMB            = 80.0
	worldTaskMB        = 0.0005 // for each task that runs
	runMB              = 40.0
)

// mostProcesses is how many processes a run may have.
const mostProcesses = 300

// memoryMB is what the whole run will take.
func (o *Options) memoryMB() float64 {
	workers := float64(o.Workers)
	return runMB + float64(o.Controllers)*controllerMB + workers*controllerWorkerMB +
		float64(o.Regions)*(hollowMB+worldMB) + workers*(hollowWorkerMB+float64(o.TasksPerWorker)*worldTaskMB)
}

// largest is how many workers fit into so many MB with all else as it is.
func (o *Options) largest(mb float64) int {
	none, one := *o, *o
	none.Workers, one.Workers = 0, 1
	each := one.memoryMB() - none.memoryMB()
	return max(0, int((mb-none.memoryMB())/each))
}

// machine is what this machine offers.
type machine struct {
	memoryMB float64 // in all
	files    uint64  // that a process may open
}

func thisMachine(fs procfs.FS) (m machine, err error) {
	mem, err := fs.Meminfo()
	if err != nil || mem.MemTotal == nil {
		return m, fmt.Errorf("memory of this machine: %w", errors.Join(err, errUnknown))
	}
	m.memoryMB = float64(*mem.MemTotal) / 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return m, fmt.Errorf("limit of open files: %w", err)
	}
	m.files = limit.Cur
	return m, nil
}

var errUnknown = errors.New("not told")

// fits refuses what this machine can't carry.
func (o *Options) fits(m machine) error {
	if want, half := o.memoryMB(), m.memoryMB/2; want > half {
		return fmt.Errorf("--workers = %d: takes about %.0f MB, more than half of this machine's memory (%.0f MB); "+
			"the most that fits is %d", o.Workers, want, half, o.largest(half))
	}
	if n := 1 + o.Controllers + 2*o.Regions; n > mostProcesses {
		return fmt.Errorf("--controllers = %d: %d processes, more than %d", o.Controllers, n, mostProcesses)
	}
	perRegion := (o.Workers + o.Regions - 1) / o.Regions
	if need := uint64(2*perRegion + spareFiles); need > m.files {
		return fmt.Errorf("--workers = %d: a process of hollow workers opens up to %d files, more than its limit of %d; "+
			"raise it or take more --regions", o.Workers, need, m.files)
	}
	if need := uint64(o.ControllerLimit.FDs); need > m.files {
		return fmt.Errorf("a controller may open %d files, more than this machine's limit of %d", need, m.files)
	}
	return o.addressesFree()
}

// spareFiles are what a process of hollow workers opens besides two for each worker.
const spareFiles = 500

// addressesFree tells whether the loopback addresses of all regions can be used.
func (o *Options) addressesFree() error {
	for i := range o.Regions {
		addr := fmt.Sprintf("127.%d.0.1:0", firstNetwork+i)
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			return fmt.Errorf("loopback address of region %d: %w", i, err)
		}
		l.Close()
	}
	return nil
}
