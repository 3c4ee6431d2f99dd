// Package conf reads and checks an instance's settings.
//
// All faults of a file are shown together with key and line; an unknown key is
// refused with the nearest known one. Every key is described in
// docs/OPERATIONS.md, and a test holds the two together. Settings say only what
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
	PeerAdvertise  string   `toml:"peer_advertise"`
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
	Dialect        string   `toml:"dialect"`
	EntriesAddr    string   `toml:"entries_addr"`
	ReadyAddr      string   `toml:"ready_addr"`
	MetricsAddr    string   `toml:"metrics_addr"`
	TokensForMs    int64    `toml:"tokens_for_ms"`
	RetryShare     float64  `toml:"retry_share"`
	RetryReserve   float64  `toml:"retry_reserve"`
	RetryWindowMs  int64    `toml:"retry_window_ms"`
	StopMs         int64    `toml:"stop_ms"`
	MemoryMB       int64    `toml:"memory_mb"`
	CapacityCores  float64  `toml:"capacity_cores"`
	TLS            rawTLS   `toml:"tls"`
}

// The dialects: the product's own protocol, and the platform's.
const (
	DialectOwn      = "own"
	DialectPlatform = "platform"
)

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
	// Tokens that were taken away are honoured a while longer by instances that
	// heard nothing; five seconds is what callers' owners were promised.
	defaultTokensFor = 5 * clock.Second
	// A tenth of a pool's requests may be sent again, and some tens in a window
	// of ten seconds, by all instances together.
	defaultRetryShare   = 0.1
	defaultRetryReserve = 50.0
	defaultRetryWindow  = 10 * clock.Second
	// defaultStop is how long a planned stop may take.
	defaultStop = 25 * clock.Minute
	mostShare   = 1.0
)

// CallerAddr gives the address on which callers are served.
func (set *Settings) CallerAddr() string { return set.raw.CallerAddr }

// OpsAddr gives the address of the operators' interface.
func (set *Settings) OpsAddr() string { return set.raw.OpsAddr }

// PeerAddr gives the UDP address of the link between instances; empty for an
// instance that stands alone.
func (set *Settings) PeerAddr() string { return set.raw.PeerAddr }

// PeerAdvertise gives the address at which the others are told to reach the link: the
// one it listens on, unless something translates addresses before it.
func (set *Settings) PeerAdvertise() string {
	if set.raw.PeerAdvertise != "" {
		return set.raw.PeerAdvertise
	}
	return set.raw.PeerAddr
}

// Zone gives the data centre.
func (set *Settings) Zone() string { return set.raw.Zone }

// Platform gives the platform's base address.
func (set *Settings) Platform() string { return set.raw.Platform }

// Store gives the host and port of the platform's base address.
func (set *Settings) Store() string {
	base, err := url.Parse(set.raw.Platform)
	if err != nil {
		return ""
	}
	return base.Host
}

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

// Dialect gives how callers, endpoints and the store are spoken to.
func (set *Settings) Dialect() string { return set.raw.Dialect }

// EntriesAddr gives the address on which callers ask for addresses; empty if that
// is not served apart.
func (set *Settings) EntriesAddr() string { return set.raw.EntriesAddr }

// ReadyAddr gives the address on which readiness is asked for; empty if that is
// not served apart.
func (set *Settings) ReadyAddr() string { return set.raw.ReadyAddr }

// MetricsAddr gives the address of the counters; empty for none of their own.
func (set *Settings) MetricsAddr() string { return set.raw.MetricsAddr }

// TokensFor gives how long tokens are honoured after the documents were last
// known to be in force.
func (set *Settings) TokensFor() clock.Milli { return clock.Milli(set.raw.TokensForMs) }

// Retries gives the share of a pool's requests that may be sent again, and how
// many more in a window, by all instances together.
func (set *Settings) Retries() (share, most float64, window clock.Milli) {
	return set.raw.RetryShare, set.raw.RetryReserve, clock.Milli(set.raw.RetryWindowMs)
}

// Stop gives how long a planned stop may take.
func (set *Settings) Stop() clock.Milli { return clock.Milli(set.raw.StopMs) }

// Capacity gives how strong the instance is, in cores; zero counts 1.
func (set *Settings) Capacity() float64 { return set.raw.CapacityCores }

// Memory gives the bytes that the process may use, zero for no bound.
func (set *Settings) Memory() int64 { return set.raw.MemoryMB << 20 }

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
		Dialect: DialectOwn, TokensForMs: int64(defaultTokensFor), RetryShare: defaultRetryShare,
		RetryReserve: defaultRetryReserve, RetryWindowMs: int64(defaultRetryWindow), StopMs: int64(defaultStop),
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
	routed := set.raw.Dialect == DialectPlatform
	if !routed && set.raw.Dialect != DialectOwn {
		fts.Add("dialect", "%q is not one of %s, %s", set.raw.Dialect, DialectOwn, DialectPlatform)
	}
	address(fts, "ops_addr", set.raw.OpsAddr, !routed)
	address(fts, "entries_addr", set.raw.EntriesAddr, routed)
	address(fts, "ready_addr", set.raw.ReadyAddr, routed)
	address(fts, "metrics_addr", set.raw.MetricsAddr, false)
	address(fts, "peer_addr", set.raw.PeerAddr, false)
	address(fts, "peer_advertise", set.raw.PeerAdvertise, false)
	if set.raw.PeerAdvertise != "" && set.raw.PeerAddr == "" {
		fts.Add("peer_advertise", "there is no peer_addr that could be reached by it")
	}
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
	set.checkRetries(fts)
	if !routed {
		set.checkKeys(fts)
	}
}

func (set *Settings) checkRetries(fts *place.Faults) {
	if set.raw.RetryShare < 0 || set.raw.RetryShare > mostShare {
		fts.Add("retry_share", "%g is not in 0 to 1", set.raw.RetryShare)
	}
	if set.raw.RetryReserve < 0 {
		fts.Add("retry_reserve", "%g is below 0", set.raw.RetryReserve)
	}
	if set.raw.CapacityCores < 0 {
		fts.Add("capacity_cores", "%g is below 0", set.raw.CapacityCores)
	}
	if set.raw.MemoryMB < 0 {
		fts.Add("memory_mb", "%d is below 0", set.raw.MemoryMB)
	}
	span(fts, "retry_window_ms", set.raw.RetryWindowMs, clock.Second, clock.Hour)
	span(fts, "tokens_for_ms", set.raw.TokensForMs, clock.Second, clock.Hour)
	span(fts, "stop_ms", set.raw.StopMs, clock.Second, clock.Hour)
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
