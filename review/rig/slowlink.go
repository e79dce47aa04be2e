package main

import (
	"net"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"time"
)

// slowLinks leads the connections between the controllers through links whose delay, in both directions,
// can be set. It changes the settings files, so it is called before the controllers are started.
func (w *world) slowLinks() (delay *atomic.Int64, err error) {
	delay = new(atomic.Int64)
	texts, listen := map[string]string{}, map[string]string{}
	for _, c := range w.controllers {
		b, err := os.ReadFile(c.config)
		if err != nil {
			return nil, err
		}
		texts[c.host] = string(b)
		listen[c.host] = regexp.MustCompile(`peer_listen = "(.*)"`).FindStringSubmatch(texts[c.host])[1]
	}
	for _, c := range w.controllers {
		for _, other := range w.controllers {
			if other == c {
				continue
			}
			addr, err := slowLink(listen[other.host], delay)
			if err != nil {
				return nil, err
			}
			texts[c.host] = strings.ReplaceAll(texts[c.host], `address = "`+listen[other.host]+`"`, `address = "`+addr+`"`)
		}
		if err := os.WriteFile(c.config, []byte(texts[c.host]), 0o600); err != nil {
			return nil, err
		}
	}
	return delay, nil
}

// slowLink forwards connections to an address. Whatever is sent arrives in order, the delay later.
func slowLink(target string, delay *atomic.Int64) (addr string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				out, err := net.Dial("tcp4", target)
				if err != nil {
					_ = in.Close()
					return
				}
				go carry(out, in, delay)
				carry(in, out, delay)
			}()
		}
	}()
	return listener.Addr().String(), nil
}

// parcel is data that is to be delivered at a time.
type parcel struct {
	at   time.Time
	data []byte
}

// carry copies data in one direction until either side ends.
func carry(to, from net.Conn, delay *atomic.Int64) {
	parcels := make(chan parcel, 10_000)
	go func() {
		for p := range parcels {
			time.Sleep(time.Until(p.at))
			if _, err := to.Write(p.data); err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
		for range parcels { // until the reader has noticed
		}
	}()
	defer close(parcels)
	for {
		b := make([]byte, 16<<10)
		n, err := from.Read(b)
		if n > 0 {
			parcels <- parcel{time.Now().Add(time.Duration(delay.Load())), b[:n]}
		}
		if err != nil {
			return
		}
	}
}
