package scale

import (
	"fmt"
	"time"

	"github.com/prometheus/procfs"
)

// sample is the resource usage of a process since its start, as reported by the kernel.
type sample struct {
	at           time.Time
	cpu          float64 // seconds
	rss          int     // bytes
	sockets      int     // open files, nearly all of which are sockets
	readBytes    uint64  // bytes read, mostly from sockets
	writtenBytes uint64  // bytes written, mostly to sockets
}

// readSample reads the resource usage of a process.
func readSample(fs procfs.FS, pid int) (sample, error) {
	proc, err := fs.Proc(pid)
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	stat, err := proc.Stat()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	ioCounters, err := proc.IO()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	files, err := proc.FileDescriptorsLen()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	return sample{at: time.Now(), cpu: stat.CPUTime(), rss: stat.ResidentMemory(), sockets: files,
		readBytes: ioCounters.RChar, writtenBytes: ioCounters.WChar}, nil
}

// Usage is the resource usage of a process in a window.
type Usage struct {
	Role          Role
	Region        int
	Name          string
	Leader        bool    // leads its region at the end of the window
	Cores         float64 // mean processor time per second
	PeakCores     float64 // maximum of the samples
	ResidentMB    float64 // maximum of the samples
	Sockets       int     // maximum of the samples
	ReadKBPerS    float64
	WrittenKBPerS float64
	Restarts      int
}

// meter adds up the usage of a process in a window, across restarts.
type meter struct {
	last           sample // latest sample since the last start; zero before the first
	usage          Usage
	base           sample
	earlierCPU     float64 // usage of earlier runs of the process in this window
	earlierRead    uint64
	earlierWritten uint64
	windowStart    time.Time
}

// beginWindow starts a window.
func (m *meter) beginWindow(now time.Time) {
	*m = meter{last: m.last, base: m.last, windowStart: now}
}

// recordRestart starts counting for a new run of the process.
func (m *meter) recordRestart() {
	m.addCurrentRun()
	m.last, m.base = sample{}, sample{}
	m.usage.Restarts++
}

// addCurrentRun adds the usage of the current run in this window to that of earlier runs.
func (m *meter) addCurrentRun() {
	m.earlierCPU += m.last.cpu - m.base.cpu
	m.earlierRead += m.last.readBytes - m.base.readBytes
	m.earlierWritten += m.last.writtenBytes - m.base.writtenBytes
}

// addSample records a sample and updates the maxima.
func (m *meter) addSample(latest sample) {
	if elapsed := latest.at.Sub(m.last.at).Seconds(); elapsed > 0 && !m.last.at.IsZero() {
		m.usage.PeakCores = max(m.usage.PeakCores, (latest.cpu-m.last.cpu)/elapsed)
	}
	m.last = latest
	m.usage.ResidentMB = max(m.usage.ResidentMB, float64(latest.rss)/(1<<20))
	m.usage.Sockets = max(m.usage.Sockets, latest.sockets)
}

// endWindow ends a window and returns the usage in it.
func (m *meter) endWindow(now time.Time) Usage {
	m.addCurrentRun()
	usage := m.usage
	if elapsed := now.Sub(m.windowStart).Seconds(); elapsed > 0 {
		usage.Cores = m.earlierCPU / elapsed
		usage.ReadKBPerS = float64(m.earlierRead) / elapsed / 1024
		usage.WrittenKBPerS = float64(m.earlierWritten) / elapsed / 1024
	}
	return usage
}
