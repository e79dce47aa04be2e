package scale

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"github.com/prometheus/procfs"
)

// Estimated memory of each process in MB, from the fits of this package's reports (docs/capacity). They are rounded up
// because it is better to refuse a run at the start than to stop it half way.
const (
	controllerMB       = 60.0
	controllerWorkerMB = 0.15 // for each worker that reports to the controller
	hollowMB           = 60.0
	hollowWorkerMB     = 0.20
	worldMB            = 80.0
	worldTaskMB        = 0.0005 // for each running task
	parentMB           = 40.0
)

// maxProcesses is the maximum number of processes of a run.
const maxProcesses = 300

// estimateMemoryMB returns the estimated memory of all processes of the run.
func (o *Options) estimateMemoryMB() float64 {
	workers := float64(o.Workers)
	return parentMB + float64(o.Controllers)*controllerMB + workers*controllerWorkerMB +
		float64(o.Regions)*(hollowMB+worldMB) + workers*(hollowWorkerMB+float64(o.TasksPerWorker)*worldTaskMB)
}

// maxWorkers returns the largest number of workers that fits into the memory if all other options stay the same.
func (o *Options) maxWorkers(memoryMB float64) int {
	noWorkers, oneWorker := *o, *o
	noWorkers.Workers, oneWorker.Workers = 0, 1
	perWorker := oneWorker.estimateMemoryMB() - noWorkers.estimateMemoryMB()
	return max(0, int((memoryMB-noWorkers.estimateMemoryMB())/perWorker))
}

// machineCapacity is the capacity of the machine that the run uses.
type machineCapacity struct {
	memoryMB     float64 // total memory
	maxOpenFiles uint64  // limit for a process
}

// readMachine reads the capacity of this machine.
func readMachine(fs procfs.FS) (machine machineCapacity, err error) {
	meminfo, err := fs.Meminfo()
	if err != nil || meminfo.MemTotal == nil {
		return machine, fmt.Errorf("read the memory size of this machine: %w", errors.Join(err, errNotReported))
	}
	machine.memoryMB = float64(*meminfo.MemTotal) / 1024
	var fileLimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &fileLimit); err != nil {
		return machine, fmt.Errorf("read the limit of open files: %w", err)
	}
	machine.maxOpenFiles = fileLimit.Cur
	return machine, nil
}

// errNotReported is returned when the kernel does not report the memory size.
var errNotReported = errors.New("MemTotal is not reported")

// checkCapacity returns an error if the run does not fit on the machine.
func (o *Options) checkCapacity(machine machineCapacity) error {
	if needed, half := o.estimateMemoryMB(), machine.memoryMB/2; needed > half {
		return fmt.Errorf("--workers = %d: needs about %.0f MB, more than half of this machine's memory (%.0f MB); "+
			"at most %d workers fit", o.Workers, needed, half, o.maxWorkers(half))
	}
	if processes := 1 + o.Controllers + 2*o.Regions; processes > maxProcesses {
		return fmt.Errorf("--controllers = %d: the run would have %d processes, more than %d", o.Controllers, processes,
			maxProcesses)
	}
	perRegion := (o.Workers + o.Regions - 1) / o.Regions
	if needed := uint64(2*perRegion + extraFiles); needed > machine.maxOpenFiles {
		return fmt.Errorf("--workers = %d: a process of hollow workers opens up to %d files, more than its limit of %d; "+
			"raise the limit or use more --regions", o.Workers, needed, machine.maxOpenFiles)
	}
	if needed := uint64(o.ControllerLimit.FDs); needed > machine.maxOpenFiles {
		return fmt.Errorf("a controller may open %d files, more than this machine's limit of %d", needed,
			machine.maxOpenFiles)
	}
	return o.checkAddresses()
}

// extraFiles is the number of files that a hollow process opens besides two for each worker.
const extraFiles = 500

// checkAddresses returns an error unless the loopback addresses of all regions' workers can be used.
func (o *Options) checkAddresses() error {
	for i := range o.Regions {
		addr := fmt.Sprintf("127.%d.0.1:0", firstNetworkOctet+i)
		listener, err := net.Listen("tcp4", addr)
		if err != nil {
			return fmt.Errorf("loopback address of region %d: %w", i, err)
		}
		listener.Close()
	}
	return nil
}
