package ops

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"honeylock/internal/client"
	"honeylock/internal/config"
	"honeylock/internal/node"
)

type recordingHandler struct{ calls []node.Call }

func (h *recordingHandler) Operate(_ context.Context, c node.Call) node.CallReply {
	h.calls = append(h.calls, c)
	return node.CallReply{Status: http.StatusOK, Body: []byte(`{}`)}
}

func newTestServer(t *testing.T) (*Server, *recordingHandler) {
	t.Helper()
	handler := &recordingHandler{}
	s, err := New(handler, &config.Operator{Access: []config.Access{{Name: "reader", Hash: sha256.Sum256([]byte("r"))},
		{Name: "boss", Hash: sha256.Sum256([]byte("o")),
			Operate: true}}}, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	return s, handler
}

func (s *Server) request(method, path, token string) int {
	r := httptest.NewRequest(method, "/ops/v1/"+path, nil)
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	s.http.Handler.ServeHTTP(w, r)
	return w.Code
}

// Role read allows reads and forecasts, which change nothing; role operate allows all calls.
func TestRoles(t *testing.T) {
	s, handler := newTestServer(t)
	for _, c := range []struct {
		method, path, token string
		want                int
	}{
		{"GET", "drains", "r", 200}, {"GET", "audit", "r", 200}, {"POST", "forecasts", "r", 200}, {"POST",
			"drains/p/forecast", "r", 200},
		{"POST", "drains", "r", 403}, {"POST", "drains/p/pause", "r", 403}, {"POST", "drains/p/machines/m/patched", "r", 403},
		{"POST", "drains", "o", 200}, {"POST", "drains/p/cancel", "o", 200}, {"GET", "drains", "o", 200},
	} {
		if got := s.request(c.method, c.path, c.token); got != c.want {
			t.Errorf("%s %s as %s: %d, want %d", c.method, c.path, c.token, got, c.want)
		}
	}
	if last := handler.calls[len(handler.calls)-2]; last.Who != "boss" || last.Verb != node.DrainCancel ||
		last.Name != "p" || last.Request == "" {
		t.Errorf("%+v", last)
	}
}

// Wrong tokens are limited to a few a second; valid ones are never delayed.
func TestWrongTokensAreRateLimited(t *testing.T) {
	s, _ := newTestServer(t)
	limited := 0
	for range 60 {
		if s.request("GET", "drains", "guess") == http.StatusTooManyRequests {
			limited++
		}
	}
	if limited < 30 {
		t.Errorf("%d of 60 wrong tokens were rate limited", limited)
	}
	if got := s.request("GET", "drains", "o"); got != http.StatusOK {
		t.Errorf("a valid token got status %d", got)
	}
}

func writeCert(t *testing.T, dir string, serial int64) (cert, key string) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &k.PublicKey, k)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	cert, key = filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem")
	for f, b := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: der},
		key: {Type: "EC PRIVATE KEY", Bytes: raw}} {
		if err := os.WriteFile(f, pem.EncodeToMemory(b), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(f, time.Time{}, time.Unix(1000*serial, 0)); err != nil {
			t.Fatal(err)
		}
	}
	return cert, key
}

// A changed certificate is served without a restart. If it can't be read, the old one
// stays in use.
func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	cert, key := writeCert(t, dir, 1)
	c, err := loadCertificate(cert, key, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	serial := func() int64 {
		c.checkedAt = time.Time{}
		got, err := c.get(&tls.ClientHelloInfo{})
		if err != nil {
			t.Fatal(err)
		}
		x, err := x509.ParseCertificate(got.Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		return x.SerialNumber.Int64()
	}
	if serial() != 1 {
		t.Error("the first certificate is not served")
	}
	writeCert(t, dir, 2)
	if serial() != 2 {
		t.Error("the new certificate is not served")
	}
	if err := os.WriteFile(cert, []byte("nothing"), 0o600); err != nil {
		t.Fatal(err)
	}
	if serial() != 2 {
		t.Error("the old certificate is no longer served")
	}
}

// With TLS a client that trusts the CA is served, and plain HTTP is refused.
func TestCallsOverTLS(t *testing.T) {
	cert, key := writeCert(t, t.TempDir(), 1)
	s, err := New(&recordingHandler{}, &config.Operator{CertFile: cert, KeyFile: key,
		Access: []config.Access{{Name: "boss", Hash: sha256.Sum256([]byte("o")), Operate: true}}},
		slog.New(slog.DiscardHandler), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go s.Serve(ctx, addr)
	o, err := client.NewOperators([]string{addr}, "o", cert)
	if err != nil {
		t.Fatal(err)
	}
	var out struct{}
	if err := o.Change(t.Context(), "drains/p/pause", nil, &out, func(string) {}); err != nil {
		t.Error(err)
	}
	res, err := http.Get("http://" + addr + "/ops/v1/drains")
	if err != nil {
		return
	}
	res.Body.Close()
	if res.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d over plain HTTP", res.StatusCode)
	}
}
