package scale

import (
	"fmt"
	"time"

	"github.com/prometheus/procfs"
)

// sample is what a process has used so far, as the kernel tells.
type sample struct {
	at           time.Time
	cpu          float64 // seconds
	rss          int     // bytes
	sockets      int     // open files, which are sockets but for a few
	readBytes    uint64  // bytes, of sockets for the most part
	writtenBytes uint64
}

// readSample reads a process's figures.
func readSample(fs procfs.FS, pid int) (sample, error) {
	p, err := fs.Proc(pid)
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	stat, err := p.Stat()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	ioCounters, err := p.IO()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	files, err := p.FileDescriptorsLen()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	return sample{at: time.Now(), cpu: stat.CPUTime(), rss: stat.ResidentMemory(), sockets: files,
		readBytes:    ioCounters.RChar,
		writtenBytes: ioCounters.WChar}, nil
}

// Usage of a process in a window.
type Usage struct {
	Role          Role
	Region        int
	Name          string
	Leader        bool    // of its region, at the window's end
	Cores         float64 // processor time a second, mean
	PeakCores     float64 // in any second
	ResidentMB    float64 // at the most
	Sockets       int     // at the most
	ReadKBPerS    float64
	WrittenKBPerS float64
	Restarts      int
}

// meter follows a process through its restarts.
type meter struct {
	last           sample // since its last start; its time is zero before the first
	usage          Usage
	base           sample
	earlierCPU     float64 // of earlier lives in this window
	earlierRead    uint64
	earlierWritten uint64
	windowStart    time.Time
}

// beginWindow begins a window.
func (m *meter) beginWindow(now time.Time) {
	*m = meter{last: m.last, base: m.last, windowStart: now}
}

// recordRestart begins another life.
func (m *meter) recordRestart() {
	m.addCurrentRun()
	m.last, m.base = sample{}, sample{}
	m.usage.Restarts++
}

// addCurrentRun adds what the present life has used in this window.
func (m *meter) addCurrentRun() {
	m.earlierCPU += m.last.cpu - m.base.cpu
	m.earlierRead += m.last.readBytes - m.base.readBytes
	m.earlierWritten += m.last.writtenBytes - m.base.writtenBytes
}

func (m *meter) addSample(s sample) {
	if elapsed := s.at.Sub(m.last.at).Seconds(); elapsed > 0 && !m.last.at.IsZero() {
		m.usage.PeakCores = max(m.usage.PeakCores, (s.cpu-m.last.cpu)/elapsed)
	}
	m.last = s
	m.usage.ResidentMB = max(m.usage.ResidentMB, float64(s.rss)/(1<<20))
	m.usage.Sockets = max(m.usage.Sockets, s.sockets)
}

// endWindow ends a window.
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
