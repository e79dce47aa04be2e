package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"

	"honeylock/internal/config/settingspb"
)

// Operator configures the operators' server: its address and who may call it.
type Operator struct {
	Listen            string
	Access            []Access
	CertFile, KeyFile string // both empty: no TLS
}

// Access grants access to the bearer of a token.
type Access struct {
	Name    string
	Hash    [sha256.Size]byte // of the token
	Operate bool              // may make changes, not only read
}

var accessName = regexp.MustCompile(`^[a-z0-9_-]{1,64}$`)

const (
	maxAccess     = 64
	minTokenBytes = 16 // shorter tokens can be guessed
)

// parseOperator converts the settings of the operators' server and reports every mistake
// with its field.
func parseOperator(p *settingspb.Operator) (*Operator, error) {
	o := &Operator{Listen: p.GetListen(), CertFile: p.GetTlsCertFile(), KeyFile: p.GetTlsKeyFile()}
	var errs []error
	addError := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf("operator."+field+": "+format, args...))
	}
	if h, _, err := net.SplitHostPort(o.Listen); err != nil || net.ParseIP(h) == nil {
		addError("listen", "%q must be IP:PORT", o.Listen)
	}
	if (o.CertFile == "") != (o.KeyFile == "") {
		addError("tls_cert_file", "a certificate and its key (tls_key_file) must be given together")
	}
	if n := len(p.GetAccess()); n < 1 || n > maxAccess {
		addError("access", "%d given, must be 1 to %d", n, maxAccess)
	}
	names, hashes := map[string]bool{}, map[[sha256.Size]byte]bool{}
	for i, a := range p.GetAccess() {
		field := func(f string) string { return fmt.Sprintf("access[%d].%s", i, f) }
		if !accessName.MatchString(a.GetName()) || names[a.GetName()] {
			addError(field("name"), "%q must be 1 to 64 of a-z, 0-9, - and _, and be unique", a.GetName())
		}
		names[a.GetName()] = true
		if a.GetRole() != "read" && a.GetRole() != "operate" {
			addError(field("role"), "%q must be read or operate", a.GetRole())
		}
		hash, source, err := tokenHash(a)
		if err != nil {
			addError(field(source), "%w", err)
			continue
		}
		if hashes[hash] {
			addError(field(source), "the same token is given twice")
		}
		hashes[hash] = true
		o.Access = append(o.Access, Access{Name: a.GetName(), Hash: hash, Operate: a.GetRole() == "operate"})
	}
	return o, errors.Join(errs...)
}

// tokenHash returns the hash of a token and the name of the field that it came from.
func tokenHash(a *settingspb.Access) (hash [sha256.Size]byte, field string, err error) {
	switch {
	case (a.GetTokenSha256() == "") == (a.GetTokenFile() == ""):
		return hash, "token_sha256", errors.New("give either token_sha256 or token_file")
	case a.GetTokenFile() == "":
		b, err := hex.DecodeString(a.GetTokenSha256())
		if err != nil || len(b) != len(hash) {
			return hash, "token_sha256", errors.New("must be 64 hexadecimal digits")
		}
		return [sha256.Size]byte(b), "token_sha256", nil
	}
	b, err := os.ReadFile(a.GetTokenFile())
	if err != nil {
		return hash, "token_file", err
	}
	token := strings.TrimSpace(string(b))
	if len(token) < minTokenBytes || strings.ContainsAny(token, " \t\r\n") {
		return hash, "token_file", fmt.Errorf("must hold one token of %d bytes or more", minTokenBytes)
	}
	return sha256.Sum256([]byte(token)), "token_file", nil
}
