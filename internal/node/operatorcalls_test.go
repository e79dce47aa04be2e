package node

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"testing"

	"honeylock/internal/config"
)

// The controllers' own port accepts operators' calls only with a signature keyed with the hash of the
// operator's token. Without that, the port would bypass the tokens.
func TestForwardedCallsNeedSignature(t *testing.T) {
	reader := config.Access{Name: "reader", Hash: sha256.Sum256([]byte("r"))}
	operator := config.Access{Name: "boss", Hash: sha256.Sum256([]byte("o")), Operate: true}
	n := &Node{settings: &config.Settings{Operator: &config.Operator{Access: []config.Access{reader, operator}}},
		log: slog.New(slog.DiscardHandler)}
	send := func(n *Node, c Call) int {
		b, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		n.serveCall(w, httptest.NewRequest("POST", "/peer/ops", bytes.NewReader(b)))
		var r CallReply
		if err := json.Unmarshal(w.Body.Bytes(), &r); err != nil {
			t.Fatal(err)
		}
		return r.Status
	}
	signed := func(c Call, access *config.Access) Call {
		c.Signature = c.sign(access)
		return c
	}
	pause, list := Call{Verb: DrainPause, Name: "p", Who: "boss"}, Call{Verb: DrainList, Who: "reader"}
	altered := signed(pause, &operator)
	altered.Name = "q"
	byReader := pause
	byReader.Who = "reader"
	for name, c := range map[string]struct {
		call Call
		want int
	}{
		"no signature":        {pause, 403},
		"another's signature": {signed(pause, &reader), 403},
		"another plan":        {altered, 403},
		"a change by readers": {signed(byReader, &reader), 403},
		"unknown operator":    {signed(Call{Verb: DrainList, Who: "x"}, &operator), 403},
		"a change":            {signed(pause, &operator), 503}, // accepted, but no controller leads
		"a query":             {signed(list, &reader), 503},
	} {
		if got := send(n, c.call); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
	if got := send(&Node{settings: &config.Settings{}, log: n.log}, signed(pause, &operator)); got != 403 {
		t.Errorf("%d without an operators' endpoint", got)
	}
}
