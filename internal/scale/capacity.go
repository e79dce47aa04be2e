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
	parentMB           = 40.0
)

// maxProcesses is how many processes a run may have.
const maxProcesses = 300

// estimateMemoryMB is what the whole run will take.
func (o *Options) estimateMemoryMB() float64 {
	workers := float64(o.Workers)
	return parentMB + float64(o.Controllers)*controllerMB + workers*controllerWorkerMB +
		float64(o.Regions)*(hollowMB+worldMB) + workers*(hollowWorkerMB+float64(o.TasksPerWorker)*worldTaskMB)
}

// maxWorkers is how many workers fit into so many MB with all else as it is.
func (o *Options) maxWorkers(mb float64) int {
	noWorkers, oneWorker := *o, *o
	noWorkers.Workers, oneWorker.Workers = 0, 1
	perWorker := oneWorker.estimateMemoryMB() - noWorkers.estimateMemoryMB()
	return max(0, int((mb-noWorkers.estimateMemoryMB())/perWorker))
}

// machine is what this machine offers.
type machine struct {
	memoryMB     float64 // in all
	maxOpenFiles uint64  // that a process may open
}

func readMachine(fs procfs.FS) (m machine, err error) {
	mem, err := fs.Meminfo()
	if err != nil || mem.MemTotal == nil {
		return m, fmt.Errorf("memory of this machine: %w", errors.Join(err, errNotReported))
	}
	m.memoryMB = float64(*mem.MemTotal) / 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return m, fmt.Errorf("limit of open files: %w", err)
	}
	m.maxOpenFiles = limit.Cur
	return m, nil
}

var errNotReported = errors.New("not told")

// checkCapacity refuses what this machine can't carry.
func (o *Options) checkCapacity(machine machine) error {
	if needed, half := o.estimateMemoryMB(), machine.memoryMB/2; needed > half {
		return fmt.Errorf("--workers = %d: takes about %.0f MB, more than half of this machine's memory (%.0f MB); "+
			"the most that fits is %d", o.Workers, needed, half, o.maxWorkers(half))
	}
	if processes := 1 + o.Controllers + 2*o.Regions; processes > maxProcesses {
		return fmt.Errorf("--controllers = %d: %d processes, more than %d", o.Controllers, processes, maxProcesses)
	}
	perRegion := (o.Workers + o.Regions - 1) / o.Regions
	if needed := uint64(2*perRegion + extraFiles); needed > machine.maxOpenFiles {
		return fmt.Errorf("--workers = %d: a process of hollow workers opens up to %d files, more than its limit of %d; "+
			"raise it or take more --regions", o.Workers, needed, machine.maxOpenFiles)
	}
	if needed := uint64(o.ControllerLimit.FDs); needed > machine.maxOpenFiles {
		return fmt.Errorf("a controller may open %d files, more than this machine's limit of %d", needed,
			machine.maxOpenFiles)
	}
	return o.checkAddresses()
}

// extraFiles are what a process of hollow workers opens besides two for each worker.
const extraFiles = 500

// checkAddresses tells whether the loopback addresses of all regions can be used.
func (o *Options) checkAddresses() error {
	for i := range o.Regions {
		addr := fmt.Sprintf("127.%d.0.1:0", firstNetworkOctet+i)
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			return fmt.Errorf("loopback address of region %d: %w", i, err)
		}
		l.Close()
	}
	return nil
}
