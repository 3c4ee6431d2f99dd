// Package conf reads and checks an instance's settings.
//
// All faults of a file are shown together with key and line; an unknown key is
// refused with the nearest known one. Every key is described in
// docs/OPERATING.md, and a test holds the two together. Settings say only what
// one instance can't learn otherwise: its addresses, its data centre, where the
// platform is and which keys to use. How services behave stands in their
// documents.
package conf

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"

	"amaranthvalve/internal/place"
	"amaranthvalve/pkg/claim"
	"amaranthvalve/pkg/clock"
)

// Settings are an instance's checked settings; see [Parse].
type Settings struct {
	raw raw
	key []byte
}

type raw struct {
	CallerAddr     string   `toml:"caller_addr"`
	OpsAddr        string   `toml:"ops_addr"`
	PeerAddr       string   `toml:"peer_addr"`
	Zone           string   `toml:"zone"`
	Platform       string   `toml:"platform"`
	Peers          []string `toml:"peers"`
	KeepMs         int64    `toml:"keep_ms"`
	FreshMs        int64    `toml:"fresh_ms"`
	LogRetentionMs int64    `toml:"log_retention_ms"`
	MaxInFlight    int      `toml:"max_in_flight"`
	MaxConnections int      `toml:"max_connections"`
	LogLevel       string   `toml:"log_level"`
	ResumeKeyHex   string   `toml:"resume_key_hex"`
	TLS            rawTLS   `toml:"tls"`
}

type rawTLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Defaults and bounds.
const (
	defaultKeep           = 10 * clock.Second
	defaultFresh          = 5 * clock.Second
	defaultRetention      = 3 * clock.Day
	defaultMaxInFlight    = 2048
	defaultMaxConnections = 8192
	maxKeep               = 10 * clock.Minute
	minFresh              = 2 * clock.Second
	maxFresh              = clock.Minute
	minResumeKey          = 16
)

// CallerAddr gives the address on which callers are served.
func (set *Settings) CallerAddr() string { return set.raw.CallerAddr }

// OpsAddr gives the address of the operators' interface.
func (set *Settings) OpsAddr() string { return set.raw.OpsAddr }

// PeerAddr gives the UDP address of the link between instances; empty for an
// instance that stands alone.
func (set *Settings) PeerAddr() string { return set.raw.PeerAddr }

// Zone gives the data centre.
func (set *Settings) Zone() string { return set.raw.Zone }

// Platform gives the platform's base address.
func (set *Settings) Platform() string { return set.raw.Platform }

// Peers gives addresses of other instances to ask when the instance list is
// out.
func (set *Settings) Peers() []string { return set.raw.Peers }

// Keep gives how long callers may keep an address.
func (set *Settings) Keep() clock.Milli { return clock.Milli(set.raw.KeepMs) }

// Fresh gives how long an instance may go without word of the log.
func (set *Settings) Fresh() clock.Milli { return clock.Milli(set.raw.FreshMs) }

// LogRetention gives how long the platform keeps records.
func (set *Settings) LogRetention() clock.Milli { return clock.Milli(set.raw.LogRetentionMs) }

// MaxInFlight bounds the requests under way at this instance.
func (set *Settings) MaxInFlight() int { return set.raw.MaxInFlight }

// MaxConnections bounds the callers' connections at this instance.
func (set *Settings) MaxConnections() int { return set.raw.MaxConnections }

// LogLevel gives the least level that is logged.
func (set *Settings) LogLevel() string { return set.raw.LogLevel }

// ResumeKey gives the key that seals resume tokens, the same on all instances.
func (set *Settings) ResumeKey() []byte { return set.key }

// TLS gives the files of certificate, key and authority.
func (set *Settings) TLS() (cert, key, ca string) {
	return set.raw.TLS.Cert, set.raw.TLS.Key, set.raw.TLS.CA
}

// Read reads settings from a file.
func Read(path string) (*Settings, *place.Faults, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	set, fts := Parse(text)
	return set, fts, nil
}

// Parse reads and checks settings. They are nil exactly when the list has
// failed.
func Parse(text []byte) (*Settings, *place.Faults) {
	set := &Settings{raw: raw{
		KeepMs: int64(defaultKeep), FreshMs: int64(defaultFresh), LogRetentionMs: int64(defaultRetention),
		MaxInFlight: defaultMaxInFlight, MaxConnections: defaultMaxConnections, LogLevel: "info",
	}}
	fts := place.Decode(text, &set.raw)
	if fts.Failed() {
		return nil, fts
	}
	set.check(fts)
	if fts.Failed() {
		return nil, fts
	}
	return set, fts
}

func (set *Settings) check(fts *place.Faults) {
	address(fts, "caller_addr", set.raw.CallerAddr, true)
	address(fts, "ops_addr", set.raw.OpsAddr, true)
	address(fts, "peer_addr", set.raw.PeerAddr, false)
	for i, addr := range set.raw.Peers {
		address(fts, fmt.Sprintf("peers[%d]", i), addr, true)
	}
	if set.raw.Zone == "" {
		fts.Add("zone", "the data centre must be named")
	}
	base, err := url.Parse(set.raw.Platform)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		fts.Add("platform", "%q is not an address such as \"http://10.0.0.1:7000\"", set.raw.Platform)
	}
	span(fts, "keep_ms", set.raw.KeepMs, 1, maxKeep)
	span(fts, "fresh_ms", set.raw.FreshMs, minFresh, maxFresh)
	if clock.Milli(set.raw.LogRetentionMs) < claim.MinRetention {
		fts.Add("log_retention_ms", "%d is below %d: request keys would be forgotten while they are repeated", set.raw.LogRetentionMs, claim.MinRetention)
	}
	positive(fts, "max_in_flight", set.raw.MaxInFlight)
	positive(fts, "max_connections", set.raw.MaxConnections)
	switch set.raw.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		fts.Add("log_level", "%q is not one of debug, info, warn, error", set.raw.LogLevel)
	}
	set.checkKeys(fts)
}

func (set *Settings) checkKeys(fts *place.Faults) {
	key, err := hex.DecodeString(set.raw.ResumeKeyHex)
	if err != nil || len(key) < minResumeKey {
		fts.Add("resume_key_hex", "at least %d bytes in hexadecimal are needed, the same on all instances", minResumeKey)
	}
	set.key = key
	if set.raw.PeerAddr == "" {
		fts.Warn("peer_addr", "no peer_addr: this instance stands alone")
		return
	}
	for path, file := range map[string]string{"tls.cert": set.raw.TLS.Cert, "tls.key": set.raw.TLS.Key, "tls.ca": set.raw.TLS.CA} {
		if file == "" {
			fts.Add(path, "a file must be named, for instances speak to one another under mutual TLS")
			continue
		}
		if _, err := os.Stat(file); err != nil {
			fts.Add(path, "%v", err)
		}
	}
}

func address(fts *place.Faults, path, addr string, needed bool) {
	if addr == "" && !needed {
		return
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		fts.Add(path, "%q is not an IP address with a port, such as \"10.0.0.1:7100\"", addr)
	}
}

func span(fts *place.Faults, path string, ms int64, least, most clock.Milli) {
	if clock.Milli(ms) < least || clock.Milli(ms) > most {
		fts.Add(path, "%d ms is not in %d to %d", ms, least, most)
	}
}

func positive(fts *place.Faults, path string, val int) {
	if val <= 0 {
		fts.Add(path, "%d is not above 0", val)
	}
}
