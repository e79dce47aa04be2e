package ops

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"
)

// certificate is read again when its files change; one that can't be read leaves
// the old one in force.
type certificate struct {
	certFile, keyFile string
	log               *slog.Logger
	mu                sync.Mutex
	cert              *tls.Certificate
	changed           [2]time.Time
	looked            time.Time
}

func loadCertificate(certFile, keyFile string, log *slog.Logger) (*certificate, error) {
	c := &certificate{certFile: certFile, keyFile: keyFile, log: log}
	if err := c.load(c.times()); err != nil {
		return nil, err
	}
	return c, nil
}

// times are when the files were changed; zero where one can't be looked at.
func (c *certificate) times() (t [2]time.Time) {
	for i, f := range []string{c.certFile, c.keyFile} {
		if st, err := os.Stat(f); err == nil {
			t[i] = st.ModTime()
		}
	}
	return t
}

func (c *certificate) load(changed [2]time.Time) error {
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("operators' certificate: %w", err)
	}
	c.cert, c.changed = &cert, changed
	return nil
}

const lookEvery = time.Second

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.looked) >= lookEvery {
		c.looked = now
		if t := c.times(); t != c.changed {
			if err := c.load(t); err != nil {
				c.log.Error("operators' certificate not read again; the old one stays", "err", err)
			} else {
				c.log.Info("operators' certificate read again")
			}
		}
	}
	return c.cert, nil
}
