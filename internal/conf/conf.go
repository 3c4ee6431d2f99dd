// Package conf reads and validates the settings of an instance.
//
// All faults of a file are reported together, with key and line. An unknown key
// is rejected with the most similar known key as a suggestion. Every key is
// described in docs/OPERATIONS.md; a test checks that page against the code.
// Settings contain only what an instance can't get elsewhere: its addresses, its
// data centre, the platform's address and the cryptographic keys. The behaviour
// of services is defined in their documents.
package conf

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"

	"amaranthvalve/internal/tomlx"
	"amaranthvalve/pkg/claim"
	"amaranthvalve/pkg/clock"
	"amaranthvalve/pkg/hedge"
)

// Settings are the validated settings of an instance; see [Parse].
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
	HedgeShare     float64  `toml:"hedge_share"`
	StopMs         int64    `toml:"stop_ms"`
	RankAdmission  bool     `toml:"rank_admission"`
	Policies       []string `toml:"policies"`
	MemoryMB       int64    `toml:"memory_mb"`
	CapacityCores  float64  `toml:"capacity_cores"`
	TLS            rawTLS   `toml:"tls"`
}

// Dialects: the product's own protocol and that of the platform.
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
	defaultEntryTTL       = 10 * clock.Second
	defaultMaxLogAge      = 5 * clock.Second
	defaultRetention      = 3 * clock.Day
	defaultMaxInFlight    = 2048
	defaultMaxConnections = 8192
	maxEntryTTL           = 10 * clock.Minute
	minMaxLogAge          = 2 * clock.Second
	maxMaxLogAge          = clock.Minute
	minResumeKeyBytes     = 16
	// defaultTokenMaxViewAge is how long an instance without updates may accept
	// revoked tokens. The owners of the callers were promised 5 s.
	defaultTokenMaxViewAge = 5 * clock.Second
	// defaultRetryShare, defaultRetryReserve and defaultRetryWindow: all instances
	// together may retry a tenth of a pool's requests plus 50 in each window of 10 s.
	defaultRetryShare   = 0.1
	defaultRetryReserve = 50.0
	defaultRetryWindow  = 10 * clock.Second
	// defaultShutdownTimeout bounds a planned shutdown.
	defaultShutdownTimeout = 25 * clock.Minute
	maxRetryShare          = 1.0
)

// CallerAddr returns the listen address for callers.
func (set *Settings) CallerAddr() string { return set.raw.CallerAddr }

// OpsAddr returns the listen address of the operators' interface.
func (set *Settings) OpsAddr() string { return set.raw.OpsAddr }

// PeerAddr returns the UDP address of the link to other instances. It is empty
// for a standalone instance.
func (set *Settings) PeerAddr() string { return set.raw.PeerAddr }

// PeerAdvertise returns the address of the link that is advertised to other
// instances. It defaults to the listen address and differs from it behind address
// translation.
func (set *Settings) PeerAdvertise() string {
	if set.raw.PeerAdvertise != "" {
		return set.raw.PeerAdvertise
	}
	return set.raw.PeerAddr
}

// Zone returns the name of the data centre.
func (set *Settings) Zone() string { return set.raw.Zone }

// Platform returns the base URL of the platform.
func (set *Settings) Platform() string { return set.raw.Platform }

// StoreAddr returns the host and port of the platform's base URL.
func (set *Settings) StoreAddr() string {
	base, err := url.Parse(set.raw.Platform)
	if err != nil {
		return ""
	}
	return base.Host
}

// Peers returns addresses of other instances that are used while the instance
// list is unavailable.
func (set *Settings) Peers() []string { return set.raw.Peers }

// EntryTTL returns how long callers may cache an address.
func (set *Settings) EntryTTL() clock.Milli { return clock.Milli(set.raw.KeepMs) }

// MaxLogAge returns how long an instance may serve without confirmation from the log
// that its state is current.
func (set *Settings) MaxLogAge() clock.Milli { return clock.Milli(set.raw.FreshMs) }

// LogRetention returns the retention of the platform's log.
func (set *Settings) LogRetention() clock.Milli { return clock.Milli(set.raw.LogRetentionMs) }

// MaxInFlight returns the maximum number of requests in flight at this instance.
func (set *Settings) MaxInFlight() int { return set.raw.MaxInFlight }

// MaxConnections returns the maximum number of caller connections at this instance.
func (set *Settings) MaxConnections() int { return set.raw.MaxConnections }

// Dialect returns the protocol for callers, endpoints and the store.
func (set *Settings) Dialect() string { return set.raw.Dialect }

// EntriesAddr returns the listen address for the callers' address lookups. It is
// empty if there is no separate listener for them.
func (set *Settings) EntriesAddr() string { return set.raw.EntriesAddr }

// ReadyAddr returns the listen address of the readiness check. It is empty if
// there is no separate listener for it.
func (set *Settings) ReadyAddr() string { return set.raw.ReadyAddr }

// MetricsAddr returns the listen address of the metrics. It is empty if there is
// no separate listener for them.
func (set *Settings) MetricsAddr() string { return set.raw.MetricsAddr }

// TokenMaxViewAge returns how long tokens are accepted after the documents were last
// known to be in force.
func (set *Settings) TokenMaxViewAge() clock.Milli { return clock.Milli(set.raw.TokensForMs) }

// RetryBudget returns the retry budget of a pool, for all instances together: the
// share of its requests that may be retried and the number of further retries in
// each window.
func (set *Settings) RetryBudget() (share, reserve float64, window clock.Milli) {
	return set.raw.RetryShare, set.raw.RetryReserve, clock.Milli(set.raw.RetryWindowMs)
}

// RankAdmission reports whether requests are admitted by rank where routes of different priorities share
// stage pools.
func (set *Settings) RankAdmission() bool { return set.raw.RankAdmission }

// Policies returns the names of the platform's policies in force, some of which turn on features; unknown
// ones are ignored.
func (set *Settings) Policies() []string { return set.raw.Policies }

// HedgeShare returns the extra work that hedged requests may cause, as a share of the
// requests; zero for none.
func (set *Settings) HedgeShare() float64 { return set.raw.HedgeShare }

// ShutdownTimeout returns the maximum duration of a planned shutdown.
func (set *Settings) ShutdownTimeout() clock.Milli { return clock.Milli(set.raw.StopMs) }

// Capacity returns the capacity of the instance in cores; zero counts as 1.
func (set *Settings) Capacity() float64 { return set.raw.CapacityCores }

// MemoryLimit returns the memory limit of the process in bytes, or zero for no limit.
func (set *Settings) MemoryLimit() int64 { return set.raw.MemoryMB << 20 }

// LogLevel returns the minimum level of log lines.
func (set *Settings) LogLevel() string { return set.raw.LogLevel }

// ResumeKey returns the key by which resume tokens are authenticated. It is the
// same on all instances.
func (set *Settings) ResumeKey() []byte { return set.key }

// TLS returns the paths of the certificate, its key and the CA certificate.
func (set *Settings) TLS() (cert, key, ca string) {
	return set.raw.TLS.Cert, set.raw.TLS.Key, set.raw.TLS.CA
}

// Read reads and validates settings from a file; see [Parse].
func Read(path string) (*Settings, *tomlx.Faults, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	set, fts := Parse(text)
	return set, fts, nil
}

// Parse decodes and validates settings. They are nil if and only if the list of
// faults contains an error.
func Parse(text []byte) (*Settings, *tomlx.Faults) {
	set := &Settings{raw: raw{
		KeepMs: int64(defaultEntryTTL), FreshMs: int64(defaultMaxLogAge), LogRetentionMs: int64(defaultRetention),
		MaxInFlight: defaultMaxInFlight, MaxConnections: defaultMaxConnections, LogLevel: "info",
		Dialect: DialectOwn, TokensForMs: int64(defaultTokenMaxViewAge), RetryShare: defaultRetryShare,
		RetryReserve: defaultRetryReserve, RetryWindowMs: int64(defaultRetryWindow), StopMs: int64(defaultShutdownTimeout),
	}}
	fts := tomlx.Decode(text, &set.raw)
	if fts.HasErrors() {
		return nil, fts
	}
	set.check(fts)
	if fts.HasErrors() {
		return nil, fts
	}
	return set, fts
}

func (set *Settings) check(fts *tomlx.Faults) {
	checkAddr(fts, "caller_addr", set.raw.CallerAddr, true)
	isPlatform := set.raw.Dialect == DialectPlatform
	if !isPlatform && set.raw.Dialect != DialectOwn {
		fts.Add("dialect", "%q is not one of %s, %s", set.raw.Dialect, DialectOwn, DialectPlatform)
	}
	checkAddr(fts, "ops_addr", set.raw.OpsAddr, !isPlatform)
	checkAddr(fts, "entries_addr", set.raw.EntriesAddr, isPlatform)
	checkAddr(fts, "ready_addr", set.raw.ReadyAddr, isPlatform)
	checkAddr(fts, "metrics_addr", set.raw.MetricsAddr, false)
	checkAddr(fts, "peer_addr", set.raw.PeerAddr, false)
	checkAddr(fts, "peer_advertise", set.raw.PeerAdvertise, false)
	if set.raw.PeerAdvertise != "" && set.raw.PeerAddr == "" {
		fts.Add("peer_advertise", "it has no effect without peer_addr")
	}
	for i, addr := range set.raw.Peers {
		checkAddr(fts, fmt.Sprintf("peers[%d]", i), addr, true)
	}
	if set.raw.Zone == "" {
		fts.Add("zone", "the data centre must be named")
	}
	base, err := url.Parse(set.raw.Platform)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		fts.Add("platform", "%q is not an address such as \"http://10.0.0.1:7000\"", set.raw.Platform)
	}
	checkRange(fts, "keep_ms", set.raw.KeepMs, 1, maxEntryTTL)
	checkRange(fts, "fresh_ms", set.raw.FreshMs, minMaxLogAge, maxMaxLogAge)
	if clock.Milli(set.raw.LogRetentionMs) < claim.MinRetention {
		fts.Add("log_retention_ms", "%d is below %d: request keys would be forgotten while they are repeated", set.raw.LogRetentionMs, claim.MinRetention)
	}
	checkPositive(fts, "max_in_flight", set.raw.MaxInFlight)
	checkPositive(fts, "max_connections", set.raw.MaxConnections)
	switch set.raw.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		fts.Add("log_level", "%q is not one of debug, info, warn, error", set.raw.LogLevel)
	}
	set.checkRetries(fts)
	if !isPlatform {
		set.checkKeys(fts)
	}
}

func (set *Settings) checkRetries(fts *tomlx.Faults) {
	if set.raw.RetryShare < 0 || set.raw.RetryShare > maxRetryShare {
		fts.Add("retry_share", "%g is not in 0 to 1", set.raw.RetryShare)
	}
	if set.raw.RetryReserve < 0 {
		fts.Add("retry_reserve", "%g is below 0", set.raw.RetryReserve)
	}
	if !hedge.ValidShare(set.raw.HedgeShare) {
		fts.Add("hedge_share", "%g is not in 0 to %g", set.raw.HedgeShare, hedge.MaxShare)
	} else if set.raw.HedgeShare > 0 && set.raw.Dialect == DialectOwn {
		fts.Warn("hedge_share", "it has no effect with dialect %s", DialectOwn)
	}
	if set.raw.CapacityCores < 0 {
		fts.Add("capacity_cores", "%g is below 0", set.raw.CapacityCores)
	}
	if set.raw.MemoryMB < 0 {
		fts.Add("memory_mb", "%d is below 0", set.raw.MemoryMB)
	}
	checkRange(fts, "retry_window_ms", set.raw.RetryWindowMs, clock.Second, clock.Hour)
	checkRange(fts, "tokens_for_ms", set.raw.TokensForMs, clock.Second, clock.Hour)
	checkRange(fts, "stop_ms", set.raw.StopMs, clock.Second, clock.Hour)
}

func (set *Settings) checkKeys(fts *tomlx.Faults) {
	key, err := hex.DecodeString(set.raw.ResumeKeyHex)
	if err != nil || len(key) < minResumeKeyBytes {
		fts.Add("resume_key_hex", "at least %d bytes in hexadecimal are needed, the same on all instances", minResumeKeyBytes)
	}
	set.key = key
	if set.raw.PeerAddr == "" {
		fts.Warn("peer_addr", "no peer_addr: this is a standalone instance")
		return
	}
	for path, file := range map[string]string{"tls.cert": set.raw.TLS.Cert, "tls.key": set.raw.TLS.Key, "tls.ca": set.raw.TLS.CA} {
		if file == "" {
			fts.Add(path, "a file is required: the links between instances use mutual TLS")
			continue
		}
		if _, err := os.Stat(file); err != nil {
			fts.Add(path, "%v", err)
		}
	}
}

func checkAddr(fts *tomlx.Faults, path, addr string, required bool) {
	if addr == "" && !required {
		return
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		fts.Add(path, "%q is not an IP address with a port, such as \"10.0.0.1:7100\"", addr)
	}
}

func checkRange(fts *tomlx.Faults, path string, ms int64, minMs, maxMs clock.Milli) {
	if clock.Milli(ms) < minMs || clock.Milli(ms) > maxMs {
		fts.Add(path, "%d ms is not in %d to %d", ms, minMs, maxMs)
	}
}

func checkPositive(fts *tomlx.Faults, path string, val int) {
	if val <= 0 {
		fts.Add(path, "%d is not above 0", val)
	}
}
