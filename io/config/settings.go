package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"sassafrasvalve/core/hint"
	"sassafrasvalve/core/spec"
)

// Defaults of the settings.
const (
	DefaultBalancerWait      = 5 * time.Second // until the balancer has seen that readiness is off
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultMaxBodyBytes      = 0 // no limit: bodies are streamed and never held whole
	DefaultMaxConnections    = 4096
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout       = 75 * time.Second // above the 60 s that balancers commonly keep idle connections
)

// Ranges of the settings.
const (
	MaxBalancerWait   = 5 * time.Minute
	MinHeaderBytes    = 4 << 10 // below this, ordinary cookies are refused
	MaxHeaderBytes    = 1 << 20
	MaxBodyBytes      = 1 << 30
	MaxConnections    = 1 << 16
	MaxTimeout        = time.Hour
	MaxPeers          = 64 // the page has 6 to 9 entries
	MaxIdentityLength = 63 // bytes of a VM, region or data centre name
)

// Settings are what one daemon needs to start. Everything else is in the log.
type Settings struct {
	VM       string   // name of the VM the daemon runs on, as the platform lists it
	Region   string   // as the platform lists it
	DC       string   // data centre, as the platform lists it
	Listen   string   // IP:port for callers
	Peer     string   // IP:port for the other entries
	Admin    string   // IP:port for operators
	Peers    []string // IP:port of the peer servers of the other entries; the own one is removed
	Platform string   // base URL of the platform, with an IP number

	LogLevel string // debug, info, warn or error
	// FaultInjection lets the operator API cut peers off, for tests only.
	FaultInjection bool
	BalancerWait   spec.Duration // between readiness off and the end of accepting
	Limits         Limits
}

// Limits bound what callers may ask of one entry.
type Limits struct {
	MaxHeaderBytes    int           // of one request
	MaxBodyBytes      int           // of one request; 0 means no limit
	MaxConnections    int           // open from callers at once
	ReadHeaderTimeout spec.Duration // for the whole header of a request
	IdleTimeout       spec.Duration // of a connection between requests
}

// LogLevels are the valid values of LogLevel.
func LogLevels() []string { return []string{"debug", "info", "warn", "error"} }

// DefaultSettings returns the settings before a file is read.
func DefaultSettings() Settings {
	return Settings{
		LogLevel:     zapcore.InfoLevel.String(),
		BalancerWait: spec.Duration(DefaultBalancerWait),
		Limits: Limits{
			MaxHeaderBytes:    DefaultMaxHeaderBytes,
			MaxBodyBytes:      DefaultMaxBodyBytes,
			MaxConnections:    DefaultMaxConnections,
			ReadHeaderTimeout: spec.Duration(DefaultReadHeaderTimeout),
			IdleTimeout:       spec.Duration(DefaultIdleTimeout),
		},
	}
}

// LoadSettings reads the settings of a daemon from a TOML file. Environment variables
// are not read. All problems are returned at once, ordered by line; the settings must
// not be used if there are any.
func LoadSettings(path string) (Settings, []Problem) {
	s := DefaultSettings()
	d := newDecoder(&s)
	d.load(path)
	return d.settings(path, &s)
}

// ParseSettings reads settings from the content of a file. See LoadSettings.
func ParseSettings(file string, data []byte) (Settings, []Problem) {
	s := DefaultSettings()
	d := newDecoder(&s)
	d.read(file, data)
	return d.settings(file, &s)
}

// settings checks what was read.
func (d *decoder) settings(file string, s *Settings) (Settings, []Problem) {
	if !d.partial {
		c := &settingsChecker{decoder: d, whole: file, s: s}
		c.check()
	}
	sortProblems(d.problems)
	return *s, d.problems
}

// settingsChecker checks the values of a settings file.
type settingsChecker struct {
	*decoder
	whole string
	s     *Settings
}

// bad notes a problem of a key, unless its value could not be read.
func (c *settingsChecker) bad(key, format string, args ...any) {
	if !c.isLost(key) {
		c.add(c.placeOf(key, c.whole), key, fmt.Sprintf(format, args...))
	}
}

// check checks every key.
func (c *settingsChecker) check() {
	c.identity("VM", c.s.VM, "entry-1")
	c.identity("Region", c.s.Region, "north")
	c.identity("DC", c.s.DC, "north-a")
	c.listeners()
	c.peers()
	c.platform()
	if !slices.Contains(LogLevels(), c.s.LogLevel) {
		c.bad("LogLevel", "%q is not a log level: %s", c.s.LogLevel, hint.Suggest(c.s.LogLevel, LogLevels()))
	}
	c.span("BalancerWait", c.s.BalancerWait, 0, MaxBalancerWait)
	l := c.s.Limits
	c.wholeNumber("Limits.MaxHeaderBytes", l.MaxHeaderBytes, MinHeaderBytes, MaxHeaderBytes)
	c.wholeNumber("Limits.MaxBodyBytes", l.MaxBodyBytes, 0, MaxBodyBytes)
	c.wholeNumber("Limits.MaxConnections", l.MaxConnections, 1, MaxConnections)
	c.span("Limits.ReadHeaderTimeout", l.ReadHeaderTimeout, time.Millisecond, MaxTimeout)
	c.span("Limits.IdleTimeout", l.IdleTimeout, time.Millisecond, MaxTimeout)
}

// identityFormat excludes the "#" of member IDs and anything that paths and headers escape.
var identityFormat = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// identity checks a required name.
func (c *settingsChecker) identity(key, v, example string) {
	switch {
	case v == "":
		c.bad(key, "it is missing: set it to the name that the platform lists, such as %s = %q", key, example)
	case len(v) > MaxIdentityLength || !identityFormat.MatchString(v):
		c.bad(key, "%q is not valid: use up to %d ASCII letters, digits, \".\", \"_\" and \"-\"", v, MaxIdentityLength)
	}
}

// listeners checks the addresses that the daemon listens on.
func (c *settingsChecker) listeners() {
	list := []struct{ key, addr, use string }{
		{"Listen", c.s.Listen, "callers"}, {"Peer", c.s.Peer, "the other entries"}, {"Admin", c.s.Admin, "operators"},
	}
	seen := map[string]string{}
	for _, l := range list {
		if l.addr == "" {
			c.bad(l.key, "it is missing: set the IP:port for %s, such as %s = \"10.0.0.1:7080\"", l.use, l.key)
			continue
		}
		a, ok := c.address(l.key, l.addr)
		if !ok {
			continue
		}
		if a.Addr().IsUnspecified() && l.key != "Listen" {
			c.bad(l.key, "%s is not an address that %s can connect to: give the VM's own IP number", l.addr, l.use)
		}
		if other, ok := seen[a.String()]; ok {
			c.bad(l.key, "%s is also that of %s: give each its own port", l.addr, other)
		}
		seen[a.String()] = l.key
	}
}

// address checks an IP:port.
func (c *settingsChecker) address(key, v string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.bad(key, "%q is not an IP number and a port: write it as \"10.0.0.1:7080\"; host names are not looked up", v)
		return a, false
	}
	if a.Port() == 0 {
		c.bad(key, "%s has port 0: give the port from 1 to 65535", v)
		return a, false
	}
	return a, true
}

// peers checks the addresses of the other entries and removes the own one,
// so that one list may be given to all entries.
func (c *settingsChecker) peers() {
	if len(c.s.Peers) > MaxPeers {
		c.bad("Peers", "%d addresses are too many: give at most %d", len(c.s.Peers), MaxPeers)
		return
	}
	var others []string
	for _, p := range c.s.Peers {
		a, ok := c.address("Peers", p)
		switch {
		case !ok:
		case a.Addr().IsUnspecified():
			c.bad("Peers", "%s is not an address to connect to: give the IP number of the other entry's VM", p)
		case slices.Contains(others, p):
			c.bad("Peers", "%s is listed twice: remove one", p)
		case p != c.s.Peer:
			others = append(others, p)
		}
	}
	c.s.Peers = others
}

// platform checks the URL of the platform.
func (c *settingsChecker) platform() {
	if c.s.Platform == "" {
		c.bad("Platform", "it is missing: set the URL of the platform, such as Platform = \"http://10.0.0.100:7000\"")
		return
	}
	u, err := url.Parse(c.s.Platform)
	if err != nil || u.Scheme != "http" || u.User != nil || u.RawQuery != "" || u.Fragment != "" || strings.Trim(u.Path, "/") != "" {
		c.bad("Platform", "%q is not the base URL of the platform: write it as \"http://10.0.0.100:7000\"", c.s.Platform)
		return
	}
	if _, ok := c.address("Platform", cmp.Or(u.Host, c.s.Platform)); ok {
		c.s.Platform = strings.TrimRight(c.s.Platform, "/")
	}
}

// span checks the range of a duration.
func (c *settingsChecker) span(key string, v spec.Duration, low, high time.Duration) {
	if d := time.Duration(v); d < low || d > high {
		c.bad(key, "%v is out of range: set it to %v to %v", d, low, high)
	}
}

// wholeNumber checks the range of a whole number.
func (c *settingsChecker) wholeNumber(key string, v, low, high int) {
	if v < low || v > high {
		c.bad(key, "%d is out of range: set it to %d to %d", v, low, high)
	}
}
