package tabler

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of cell values. The upper bounds only catch typing errors; no known service comes near them.
const (
	maxNameBytes   = 128
	maxTime        = time.Minute
	maxConnectCost = 10 * time.Second
	maxLimit       = 1_000_000_000
	maxCount       = 1_000_000
	maxWeight      = 10_000
	maxCallers     = 1_000
)

// column describes one cell of a row: its name in all text formats, its text form and its range.
type column[R any] struct {
	name    string
	allowed string
	get     func(*R) string
	set     func(*R, string) bool // reports whether the text can be parsed; it does not check the range
	valid   func(*R) bool         // checks the range
}

// serviceColumns are the cells of a service row that an operator can edit. The name is not one of them.
var serviceColumns = []column[ServiceRow]{
	{"kind", "search or point",
		func(r *ServiceRow) string { return r.Kind.String() },
		func(r *ServiceRow, s string) bool { return setEnum(&r.Kind, s, KindSearch, KindPoint) },
		func(r *ServiceRow) bool { return r.Kind == KindSearch || r.Kind == KindPoint }},
	{"prefer", "coverage or latency",
		func(r *ServiceRow) string { return r.Prefer.String() },
		func(r *ServiceRow, s string) bool { return setEnum(&r.Prefer, s, PreferCoverage, PreferLatency) },
		func(r *ServiceRow) bool { return r.Prefer == PreferCoverage || r.Prefer == PreferLatency }},
	timeColumn("deadline", "a duration with unit from 1ms to 1m", func(r *ServiceRow) *time.Duration { return &r.Deadline }, time.Millisecond, maxTime),
	{"budget", "a percentage from 0 to 100, without a sign",
		func(r *ServiceRow) string { return formatPercent(r.HedgeBudget) },
		func(r *ServiceRow, s string) bool { return setPercent(&r.HedgeBudget, s) },
		func(r *ServiceRow) bool { return r.HedgeBudget >= 0 && r.HedgeBudget <= 1 }},
	floatColumn("rate", "requests per second from 0 (no limit) to 1000000000", func(r *ServiceRow) *float64 { return &r.RequestLimit }, maxLimit),
	intColumn("running", "a whole number from 0 (no limit) to 1000000000", func(r *ServiceRow) *int { return &r.InFlightLimit }, 0, maxLimit),
	intColumn("queue", "a whole number from 0 to 1000000", func(r *ServiceRow) *int { return &r.Queue }, 0, maxCount),
	{"callers", "caller=weight pairs separated by spaces, each caller once, weights from 1 to 10000",
		func(r *ServiceRow) string { return formatCallers(r.Callers) },
		func(r *ServiceRow, s string) bool { return setCallers(&r.Callers, s) },
		func(r *ServiceRow) bool { return validCallers(r.Callers) }},
	timeColumn("latency", "a duration with unit from 0s (no objective) to 1m", func(r *ServiceRow) *time.Duration { return &r.Objective.Latency }, 0, maxTime),
	floatColumn("share", "a share from 0 to 1", func(r *ServiceRow) *float64 { return &r.Objective.LatencyShare }, 1),
	floatColumn("coverage", "a share from 0 to 1", func(r *ServiceRow) *float64 { return &r.Objective.CoverageShare }, 1),
}

// upstreamColumns are the cells of an upstream row that an operator can edit. Service and name identify the row.
var upstreamColumns = []column[UpstreamRow]{
	intColumn("group", "a whole number from 0 to 1000000", func(r *UpstreamRow) *int { return &r.Group }, 0, maxCount),
	{"address", "ip:port with a port from 1 to 65535",
		func(r *UpstreamRow) string { return formatAddress(r.Address) },
		func(r *UpstreamRow, s string) bool { return setAddress(&r.Address, s) },
		func(r *UpstreamRow) bool {
			return r.Address.IsValid() && r.Address.Port() != 0 && !r.Address.Addr().IsUnspecified()
		}},
	{"domain", nameAllowed,
		func(r *UpstreamRow) string { return r.FailureDomain },
		func(r *UpstreamRow, s string) bool { r.FailureDomain = s; return true },
		func(r *UpstreamRow) bool { return validName(r.FailureDomain) }},
	intColumn("weight", "a whole number from 0 (leaving) to 10000", func(r *UpstreamRow) *int { return &r.Weight }, 0, maxWeight),
	intColumn("connections", "a whole number from 1 to 1000000", func(r *UpstreamRow) *int { return &r.Connections }, 1, maxCount),
	intColumn("slots", "a whole number from 1 to 1000000", func(r *UpstreamRow) *int { return &r.Slots }, 1, maxCount),
	timeColumn("cost", "a duration with unit from 0s to 10s", func(r *UpstreamRow) *time.Duration { return &r.ConnectCost }, 0, maxConnectCost),
}

// fleetColumns are the cells of the fleet row.
var fleetColumns = []column[Fleet]{
	intColumn("max", "a whole number from 1 to 1000000", func(r *Fleet) *int { return &r.Max }, 1, maxCount),
}

func timeColumn[R any](name, allowed string, at func(*R) *time.Duration, low, high time.Duration) column[R] {
	return column[R]{name, allowed,
		func(r *R) string { return at(r).String() },
		func(r *R, s string) bool {
			d, err := time.ParseDuration(s)
			*at(r) = d
			return err == nil
		},
		func(r *R) bool { return *at(r) >= low && *at(r) <= high }}
}

func intColumn[R any](name, allowed string, at func(*R) *int, low, high int) column[R] {
	return column[R]{name, allowed,
		func(r *R) string { return strconv.Itoa(*at(r)) },
		func(r *R, s string) bool {
			n, err := strconv.Atoi(s)
			*at(r) = n
			return err == nil
		},
		func(r *R) bool { return *at(r) >= low && *at(r) <= high }}
}

func floatColumn[R any](name, allowed string, at func(*R) *float64, high float64) column[R] {
	return column[R]{name, allowed,
		func(r *R) string { return formatFloat(*at(r)) },
		func(r *R, s string) bool { return setFloat(at(r), s) },
		func(r *R) bool { return *at(r) >= 0 && *at(r) <= high }}
}

func setEnum[E interface {
	comparable
	fmt.Stringer
}](to *E, s string, all ...E) bool {
	i := slices.IndexFunc(all, func(e E) bool { return e.String() == s })
	if i >= 0 {
		*to = all[i]
	}
	return i >= 0
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func setFloat(to *float64, s string) bool {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return false
	}
	*to = f
	return true
}

// formatPercent rounds to 12 digits, so that the text of a share such as 0.07 does not show its binary rounding error.
func formatPercent(share float64) string {
	p, _ := strconv.ParseFloat(strconv.FormatFloat(share*100, 'g', 12, 64), 64)
	return formatFloat(p)
}

func setPercent(to *float64, s string) bool {
	var p float64
	if !setFloat(&p, s) {
		return false
	}
	*to = p / 100
	return true
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

func setAddress(to *netip.AddrPort, s string) bool {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return false
	}
	*to = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	return true
}

func formatCallers(callers []CallerWeight) string {
	pairs := make([]string, len(callers))
	for i, c := range callers {
		pairs[i] = c.Caller + "=" + strconv.Itoa(c.Weight)
	}
	return strings.Join(pairs, " ")
}

func setCallers(to *[]CallerWeight, s string) bool {
	var callers []CallerWeight
	for _, pair := range strings.Fields(s) {
		caller, weight, ok := strings.Cut(pair, "=")
		n, err := strconv.Atoi(weight)
		if !ok || err != nil {
			return false
		}
		callers = append(callers, CallerWeight{Caller: caller, Weight: n})
	}
	slices.SortStableFunc(callers, func(a, b CallerWeight) int { return cmp.Compare(a.Caller, b.Caller) })
	*to = callers
	return true
}

func validCallers(callers []CallerWeight) bool {
	seen := make(map[string]bool, len(callers))
	for _, c := range callers {
		if !validName(c.Caller) || c.Weight < 1 || c.Weight > maxWeight || seen[c.Caller] {
			return false
		}
		seen[c.Caller] = true
	}
	return len(callers) <= maxCallers
}

// nameAllowed describes the names that validName accepts. Such names need no quoting in a key, a cell path or a CSV file.
const nameAllowed = "1 to 128 of the characters a-z A-Z 0-9 . _ -, the first one a letter or digit"

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i, r := range []byte(s) {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && (i == 0 || r != '.' && r != '_' && r != '-') {
			return false
		}
	}
	return true
}
