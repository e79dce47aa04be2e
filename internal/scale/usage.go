package scale

import (
	"fmt"
	"time"

	"github.com/prometheus/procfs"
)

// sample is what a process has used so far, as the kernel tells.
type sample struct {
	at      time.Time
	cpu     float64 // seconds
	rss     int     // bytes
	sockets int     // open files, which are sockets but for a few
	read    uint64  // bytes, of sockets for the most part
	written uint64
}

// sampleOf reads a process's figures.
func sampleOf(fs procfs.FS, pid int) (sample, error) {
	p, err := fs.Proc(pid)
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	st, err := p.Stat()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	io, err := p.IO()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	files, err := p.FileDescriptorsLen()
	if err != nil {
		return sample{}, fmt.Errorf("process %d: %w", pid, err)
	}
	return sample{at: time.Now(), cpu: st.CPUTime(), rss: st.ResidentMemory(), sockets: files, read: io.RChar,
		written: io.WChar}, nil
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
	last    sample // since its last start; its time is zero before the first
	usage   Usage
	begun   sample
	cpu     float64 // of earlier lives in this window
	read    uint64
	written uint64
	since   time.Time
}

// open begins a window.
func (m *meter) open(now time.Time) {
	*m = meter{last: m.last, begun: m.last, since: now}
}

// restarted begins another life.
func (m *meter) restarted() {
	m.addLife()
	m.last, m.begun = sample{}, sample{}
	m.usage.Restarts++
}

// addLife adds what the present life has used in this window.
func (m *meter) addLife() {
	m.cpu += m.last.cpu - m.begun.cpu
	m.read += m.last.read - m.begun.read
	m.written += m.last.written - m.begun.written
}

func (m *meter) take(s sample) {
	if d := s.at.Sub(m.last.at).Seconds(); d > 0 && !m.last.at.IsZero() {
		m.usage.PeakCores = max(m.usage.PeakCores, (s.cpu-m.last.cpu)/d)
	}
	m.last = s
	m.usage.ResidentMB = max(m.usage.ResidentMB, float64(s.rss)/(1<<20))
	m.usage.Sockets = max(m.usage.Sockets, s.sockets)
}

// close ends a window.
func (m *meter) close(now time.Time) Usage {
	m.addLife()
	u := m.usage
	if d := now.Sub(m.since).Seconds(); d > 0 {
		u.Cores = m.cpu / d
		u.ReadKBPerS = float64(m.read) / d / 1024
		u.WrittenKBPerS = float64(m.written) / d / 1024
	}
	return u
}
