package scale

import (
	"fmt"
	"time"
)

// Host is a controller of a region with its listen addresses.
type Host struct {
	Name, Zone, Bind, Peer, Operators string
}

// RegionSpec describes a region. It is passed to the region's hollow and world processes as JSON.
type RegionSpec struct {
	Index          int
	Name           string
	Zones          []string
	Hosts          []Host
	Workers        int
	Teams          []TeamSpec
	TasksPerWorker int
	MeanTask       time.Duration
	TasksPerJob    int
	Limits         Limits
	Timing         WorkerTiming
	Seed           uint64
	HollowAddr     string // control address of the hollow process; empty in the spec of that process
	// CancelledShare is the fraction of array jobs that their users cancel.
	CancelledShare     float64
	LimitChangesPerDay float64
	OperatorToken      string
}

// TeamSpec is a team with its guarantee (CPUs) and limit (CPUsMax).
type TeamSpec struct {
	Name          string
	CPUs, CPUsMax float64
}

// Resources of a task, and the ratio of a worker's capacity to what its tasks need on average.
const (
	taskCPUs  = 4.0
	taskMemGB = 4.0
	headroom  = 1.25
)

// workerCPUs returns the CPU capacity of a worker.
func (s *RegionSpec) workerCPUs() float64 {
	return float64(int(float64(s.TasksPerWorker)*headroom)) * taskCPUs
}

// startsPerSecond returns the rate of task starts that keeps TasksPerWorker tasks running on each of the region's
// workers.
func (s *RegionSpec) startsPerSecond() float64 {
	return float64(s.Workers*s.TasksPerWorker) / s.MeanTask.Seconds()
}

// evenShare returns the size of the ith of n nearly equal integer shares of total.
func evenShare(total, n, i int) int { return total*(i+1)/n - total*i/n }

// regionSpecs divides the fleet into regions. Workers, controllers and zones are distributed evenly; the first
// regions get the extra controllers and zones.
func (o *Options) regionSpecs() []RegionSpec {
	out := make([]RegionSpec, o.Regions)
	for i := range out {
		spec := RegionSpec{
			Index: i, Name: fmt.Sprintf("region-%d", i), Workers: evenShare(o.Workers, o.Regions, i),
			TasksPerWorker: o.TasksPerWorker, MeanTask: o.MeanTask(), TasksPerJob: o.TasksPerJob,
			Limits: o.Limits, Timing: o.Timing, Seed: o.Seed + uint64(i)*1000,
			CancelledShare: o.CancelledShare, LimitChangesPerDay: o.LimitChangesPerDay,
		}
		for z := range evenShare(o.Zones, o.Regions, o.Regions-1-i) {
			spec.Zones = append(spec.Zones, fmt.Sprintf("zone-%d%c", i, 'a'+z))
		}
		for h := range evenShare(o.Controllers, o.Regions, o.Regions-1-i) {
			spec.Hosts = append(spec.Hosts,
				Host{Name: fmt.Sprintf("controller-%d-%d", i, h), Zone: spec.Zones[h%len(spec.Zones)]})
		}
		spec.Teams = spec.teamSpecs(o.Teams)
		out[i] = spec
	}
	return out
}

// teamSpecs divides the region's capacity into equal guarantees for n teams. Each team's limit is three times its
// guarantee, or the CPUs of two arrays of twice the mean size if that is more.
func (s *RegionSpec) teamSpecs(n int) []TeamSpec {
	mean := float64(s.Workers) * s.workerCPUs() / float64(n)
	maxCPUs := max(3*mean, 2*taskCPUs*float64(2*s.TasksPerJob))
	out := make([]TeamSpec, n)
	for i := range out {
		out[i] = TeamSpec{Name: fmt.Sprintf("team-%03d", i), CPUs: mean, CPUsMax: maxCPUs}
	}
	return out
}
