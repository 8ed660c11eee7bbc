package configloader

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// setting maps one key of the settings file to a field of Settings.
type setting struct {
	section  string
	key      string
	allowed  string
	required bool
	set      func(s *Settings, text string) bool // reports whether the text is allowed
}

// Defaults returns the values of settings that a file omits. They suit a VM with 2 cores and 1 GiB of memory.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: 500 * time.Millisecond, CallRate: 20},
		Limits: Limits{
			Requests: 2_000, Tickets: 10_000, TicketLifetime: 10 * time.Minute, Claims: 10_000, Retention: time.Hour, TraceRecords: 10_000,
			BodyBytes: 64 << 10, Memory: 512 << 20,
		},
		Shutdown: Shutdown{BalancerWait: 5 * time.Second, HardLimit: time.Minute},
		Policy:   Policy{Selection: "score", Hedge: true, Adaptive: true, Seed: 1},
		Log:      Log{Level: "info"},
	}
}

var settings = []setting{
	{"vm", "id", "1 to 128 printable characters without spaces", false, func(s *Settings, t string) bool { return setName(&s.VM.ID, t) }},
	{"vm", "domain", "1 to 128 printable characters without spaces", true, func(s *Settings, t string) bool { return setName(&s.VM.FailureDomain, t) }},
	{"vm", "callers", addressAllowed, true, func(s *Settings, t string) bool { return setAddress(&s.VM.CallerAddress, t) }},
	{"vm", "peers", addressAllowed, true, func(s *Settings, t string) bool { return setAddress(&s.VM.PeerAddress, t) }},
	{"vm", "connect", "an IP address without port", false, func(s *Settings, t string) bool {
		a, err := netip.ParseAddr(t)
		s.VM.ConnectAddress = a
		return err == nil
	}},
	{"platform", "address", addressAllowed, true, func(s *Settings, t string) bool { return setAddress(&s.Platform.Address, t) }},
	timeSetting("platform", "timeout", 10*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
	{"platform", "calls", "calls per second from 0.1 to 1000", false, func(s *Settings, t string) bool {
		f, err := strconv.ParseFloat(t, 64)
		s.Platform.CallRate = f
		return err == nil && f >= 0.1 && f <= 1000
	}},
	countSetting("limits", "requests", 1, 1_000_000, func(s *Settings) *int { return &s.Limits.Requests }),
	countSetting("limits", "callers", 1, 1_000_000, func(s *Settings) *int { return &s.Limits.Callers }),
	countSetting("limits", "tickets", 0, 10_000_000, func(s *Settings) *int { return &s.Limits.Tickets }),
	timeSetting("limits", "life", time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Limits.TicketLifetime }),
	countSetting("limits", "claims", 1, 10_000_000, func(s *Settings) *int { return &s.Limits.Claims }),
	timeSetting("limits", "retention", time.Minute, 7*24*time.Hour, func(s *Settings) *time.Duration { return &s.Limits.Retention }),
	countSetting("limits", "trace", 0, 10_000_000, func(s *Settings) *int { return &s.Limits.TraceRecords }),
	{"limits", "body", "a size from 1KiB to 4MiB, in KiB, MiB or plain bytes", false, func(s *Settings, t string) bool {
		n, ok := parseSize(t)
		s.Limits.BodyBytes = int(n)
		return ok && n >= 1<<10 && n <= 4<<20
	}},
	{"limits", "memory", "a size from 64MiB to 1024GiB, in MiB, GiB or plain bytes", false, func(s *Settings, t string) bool {
		n, ok := parseSize(t)
		s.Limits.Memory = n
		return ok && n >= 64<<20 && n <= 1<<40
	}},
	timeSetting("shutdown", "wait", 0, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Shutdown.BalancerWait }),
	timeSetting("shutdown", "limit", time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.Shutdown.HardLimit }),
	wordSetting("policy", "selection", []string{"score", "p2c", "least", "random"}, func(s *Settings) *string { return &s.Policy.Selection }),
	switchSetting("policy", "hedge", func(s *Settings) *bool { return &s.Policy.Hedge }),
	switchSetting("policy", "adaptive", func(s *Settings) *bool { return &s.Policy.Adaptive }),
	{"policy", "seed", "a whole number from 0 to 18446744073709551615", false, func(s *Settings, t string) bool {
		n, err := strconv.ParseUint(t, 10, 64)
		s.Policy.Seed = n
		return err == nil
	}},
	wordSetting("log", "level", []string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.Log.Level }),
}

const addressAllowed = "ip:port with a port from 1 to 65535"

func timeSetting(section, key string, low, high time.Duration, at func(*Settings) *time.Duration) setting {
	return setting{section, key, "a duration with unit from " + low.String() + " to " + high.String(), false, func(s *Settings, t string) bool {
		d, err := time.ParseDuration(t)
		*at(s) = d
		return err == nil && d >= low && d <= high
	}}
}

func countSetting(section, key string, low, high int, at func(*Settings) *int) setting {
	allowed := "a whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high)
	return setting{section, key, allowed, false, func(s *Settings, t string) bool {
		n, err := strconv.Atoi(t)
		*at(s) = n
		return err == nil && n >= low && n <= high
	}}
}

func wordSetting(section, key string, words []string, at func(*Settings) *string) setting {
	return setting{section, key, strings.Join(words, ", "), false, func(s *Settings, t string) bool {
		*at(s) = t
		return slices.Contains(words, t)
	}}
}

func switchSetting(section, key string, at func(*Settings) *bool) setting {
	return setting{section, key, "on or off", false, func(s *Settings, t string) bool {
		*at(s) = t == "on"
		return t == "on" || t == "off"
	}}
}

func setName(to *string, t string) bool {
	*to = t
	return t != "" && len(t) <= 128 && !strings.ContainsFunc(t, func(r rune) bool { return r <= ' ' || r > '~' })
}

func setAddress(to *netip.AddrPort, t string) bool {
	a, err := netip.ParseAddrPort(t)
	*to = a
	return err == nil && a.Port() != 0
}

// parseSize parses a size in bytes. It accepts only binary units, because MB is ambiguous.
func parseSize(t string) (int64, bool) {
	unit := int64(1)
	for suffix, u := range map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30} {
		if s, ok := strings.CutSuffix(t, suffix); ok {
			t, unit = strings.TrimSpace(s), u
		}
	}
	n, err := strconv.ParseInt(t, 10, 64)
	if err != nil || n < 0 || n > math.MaxInt64/unit {
		return 0, false
	}
	return n * unit, true
}
