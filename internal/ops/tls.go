package ops

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
)

// certificate is a TLS certificate that is reloaded when its files change. If the new
// files can't be read, the old certificate stays in use.
type certificate struct {
	certFile, keyFile string
	log               *slog.Logger
	mu                sync.Mutex
	cert              *tls.Certificate
	modTimes          [2]time.Time
	checkedAt         time.Time
}

func loadCertificate(certFile, keyFile string, log *slog.Logger) (*certificate, error) {
	c := &certificate{certFile: certFile, keyFile: keyFile, log: log}
	if err := c.load(c.fileTimes()); err != nil {
		return nil, err
	}
	return c, nil
}

// fileTimes returns the modification times of the files; zero for one that has no status.
func (c *certificate) fileTimes() (t [2]time.Time) {
	for i, f := range []string{c.certFile, c.keyFile} {
		if st, err := os.Stat(f); err == nil {
			t[i] = st.ModTime()
		}
	}
	return t
}

func (c *certificate) load(modTimes [2]time.Time) error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("operators' certificate: %w", err)
	}
	c.cert, c.modTimes = &cert, modTimes
	return nil
}

const checkInterval = time.Second

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) >= checkInterval {
		c.checkedAt = now
		if t := c.fileTimes(); t != c.modTimes {
			if err := c.load(t); err != nil {
				c.log.Error("failed to reload operators' certificate; keeping the old one", "err", err)
			} else {
				c.log.Info("operators' certificate read again")
			}
		}
	}
	return c.cert, nil
}
