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
	DefaultBalancerWait      = 5 * time.Second // time until the load balancer has noticed that readiness is off
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultMaxBodyBytes      = 0 // no limit, since bodies are streamed and never buffered completely
	DefaultMaxConnections    = 4096
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout       = 75 * time.Second // above the 60 s for which load balancers commonly keep idle connections
)

// Bounds of the settings.
const (
	MaxBalancerWait   = 5 * time.Minute
	MinHeaderBytes    = 4 << 10 // with a lower limit, requests with ordinary cookies are refused
	MaxHeaderBytes    = 1 << 20
	MaxBodyBytes      = 1 << 30
	MaxConnections    = 1 << 16
	MaxTimeout        = time.Hour
	MaxPeers          = 64 // fleets have 6 to 9 entries
	MaxIdentityLength = 63 // bytes of the name of a VM, region or data centre
)

// Settings are the settings that a daemon needs to start. All other configuration is read from the log.
type Settings struct {
	VM       string   // name of the VM that the daemon runs on, as the platform lists it
	Region   string   // as the platform lists it
	DC       string   // data centre, as the platform lists it
	Listen   string   // IP:port for callers
	Peer     string   // IP:port for the other entries
	Admin    string   // IP:port for operators
	Peers    []string // IP:port of the peer servers of the other entries; the entry's own one is removed
	Platform string   // base URL of the platform, with an IP address as its host

	LogLevel string // debug, info, warn or error
	// FaultInjection allows the operator API to disconnect peers. It is for tests only.
	FaultInjection bool
	BalancerWait   spec.Duration // time between turning readiness off and closing the listeners
	Limits         Limits
}

// Limits bound the requests and connections of callers to one entry.
type Limits struct {
	MaxHeaderBytes    int           // of one request
	MaxBodyBytes      int           // of one request; 0 means no limit
	MaxConnections    int           // open from callers at once
	ReadHeaderTimeout spec.Duration // for reading the whole header of a request
	IdleTimeout       spec.Duration // maximum time between the requests of a connection
}

// LogLevels are the valid values of LogLevel.
func LogLevels() []string { return []string{"debug", "info", "warn", "error"} }

// DefaultSettings returns the settings that apply where a file sets no other value.
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
// are not read. All problems are returned at once, sorted by line; the settings must
// not be used if there are any.
func LoadSettings(path string) (Settings, []Problem) {
	s := DefaultSettings()
	d := newDecoder(&s)
	d.load(path)
	return d.checkSettings(path, &s)
}

// ParseSettings reads settings from the content of a file. See LoadSettings.
func ParseSettings(file string, data []byte) (Settings, []Problem) {
	s := DefaultSettings()
	d := newDecoder(&s)
	d.read(file, data)
	return d.checkSettings(file, &s)
}

// checkSettings validates the decoded settings and returns them with all problems.
func (d *decoder) checkSettings(file string, s *Settings) (Settings, []Problem) {
	if !d.partial {
		c := &settingsChecker{decoder: d, source: file, s: s}
		c.check()
	}
	sortProblems(d.problems)
	return *s, d.problems
}

// settingsChecker checks the values of a settings file.
type settingsChecker struct {
	*decoder
	source string
	s      *Settings
}

// report records a problem of a key, unless its value could not be read, which is already reported.
func (c *settingsChecker) report(key, format string, args ...any) {
	if !c.isUnreadable(key) {
		c.add(c.locationOf(key, c.source), key, fmt.Sprintf(format, args...))
	}
}

// check checks every key.
func (c *settingsChecker) check() {
	c.checkName("VM", c.s.VM, "entry-1")
	c.checkName("Region", c.s.Region, "north")
	c.checkName("DC", c.s.DC, "north-a")
	c.checkListeners()
	c.checkPeers()
	c.checkPlatform()
	if !slices.Contains(LogLevels(), c.s.LogLevel) {
		c.report("LogLevel", "%q is not a log level: %s", c.s.LogLevel, hint.Suggest(c.s.LogLevel, LogLevels()))
	}
	c.checkDuration("BalancerWait", c.s.BalancerWait, 0, MaxBalancerWait)
	l := c.s.Limits
	c.checkInt("Limits.MaxHeaderBytes", l.MaxHeaderBytes, MinHeaderBytes, MaxHeaderBytes)
	c.checkInt("Limits.MaxBodyBytes", l.MaxBodyBytes, 0, MaxBodyBytes)
	c.checkInt("Limits.MaxConnections", l.MaxConnections, 1, MaxConnections)
	c.checkDuration("Limits.ReadHeaderTimeout", l.ReadHeaderTimeout, time.Millisecond, MaxTimeout)
	c.checkDuration("Limits.IdleTimeout", l.IdleTimeout, time.Millisecond, MaxTimeout)
}

// identityFormat excludes "#", which separates the parts of member IDs, and characters that need escaping in paths and
// headers.
var identityFormat = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// checkName checks the name of a VM, region or data centre, which is required.
func (c *settingsChecker) checkName(key, v, example string) {
	switch {
	case v == "":
		c.report(key, "it is missing: set it to the name that the platform lists, such as %s = %q", key, example)
	case len(v) > MaxIdentityLength || !identityFormat.MatchString(v):
		c.report(key, "%q is not valid: use up to %d ASCII letters, digits, \".\", \"_\" and \"-\"", v, MaxIdentityLength)
	}
}

// checkListeners checks that the addresses that the daemon listens on are set, valid and distinct.
func (c *settingsChecker) checkListeners() {
	list := []struct{ key, addr, use string }{
		{"Listen", c.s.Listen, "callers"}, {"Peer", c.s.Peer, "the other entries"}, {"Admin", c.s.Admin, "operators"},
	}
	seen := map[string]string{}
	for _, l := range list {
		if l.addr == "" {
			c.report(l.key, "it is missing: set the IP:port for %s, such as %s = \"10.0.0.1:7080\"", l.use, l.key)
			continue
		}
		a, ok := c.checkAddress(l.key, l.addr)
		if !ok {
			continue
		}
		if a.Addr().IsUnspecified() && l.key != "Listen" {
			c.report(l.key, "%s is not an address that %s can connect to: give the VM's own IP number", l.addr, l.use)
		}
		if other, ok := seen[a.String()]; ok {
			c.report(l.key, "%s is also that of %s: give each its own port", l.addr, other)
		}
		seen[a.String()] = l.key
	}
}

// checkAddress parses an IP:port. It reports an invalid one and returns false.
func (c *settingsChecker) checkAddress(key, v string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.report(key, "%q is not an IP number and a port: write it as \"10.0.0.1:7080\"; host names are not looked up", v)
		return a, false
	}
	if a.Port() == 0 {
		c.report(key, "%s has port 0: give the port from 1 to 65535", v)
		return a, false
	}
	return a, true
}

// checkPeers checks the addresses of the other entries. It removes the entry's own address,
// so that all entries may have the same list.
func (c *settingsChecker) checkPeers() {
	if len(c.s.Peers) > MaxPeers {
		c.report("Peers", "%d addresses are too many: give at most %d", len(c.s.Peers), MaxPeers)
		return
	}
	var others []string
	for _, p := range c.s.Peers {
		a, ok := c.checkAddress("Peers", p)
		switch {
		case !ok:
		case a.Addr().IsUnspecified():
			c.report("Peers", "%s is not an address to connect to: give the IP number of the other entry's VM", p)
		case slices.Contains(others, p):
			c.report("Peers", "%s is listed twice: remove one", p)
		case p != c.s.Peer:
			others = append(others, p)
		}
	}
	c.s.Peers = others
}

// checkPlatform checks the base URL of the platform and removes trailing slashes.
func (c *settingsChecker) checkPlatform() {
	if c.s.Platform == "" {
		c.report("Platform", "it is missing: set the URL of the platform, such as Platform = \"http://10.0.0.100:7000\"")
		return
	}
	u, err := url.Parse(c.s.Platform)
	if err != nil || u.Scheme != "http" || u.User != nil || u.RawQuery != "" || u.Fragment != "" || strings.Trim(u.Path, "/") != "" {
		c.report("Platform", "%q is not the base URL of the platform: write it as \"http://10.0.0.100:7000\"", c.s.Platform)
		return
	}
	if _, ok := c.checkAddress("Platform", cmp.Or(u.Host, c.s.Platform)); ok {
		c.s.Platform = strings.TrimRight(c.s.Platform, "/")
	}
}

// checkDuration checks the range of a duration.
func (c *settingsChecker) checkDuration(key string, v spec.Duration, low, high time.Duration) {
	if d := time.Duration(v); d < low || d > high {
		c.report(key, "%v is out of range: set it to %v to %v", d, low, high)
	}
}

// checkInt checks the range of an integer.
func (c *settingsChecker) checkInt(key string, v, low, high int) {
	if v < low || v > high {
		c.report(key, "%d is out of range: set it to %d to %d", v, low, high)
	}
}
