package router

import (
	"math/rand/v2"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/selector"
)

// Config holds the settings of a VM that a Machine uses.
type Config struct {
	FailureDomain string
	VM            string
	Selection     selector.Policy
	HedgeOff      bool
	AdaptiveOff   bool       // keeps in-flight limits at the connection share
	Random        *rand.Rand // nil means a generator with a fixed seed
}

// Configure sets the configuration. It must be called before the first Step.
func (m *Machine) Configure(c Config) {
	m.config = c
	m.random = c.Random
	m.quarantine.Configure(c.VM, quarantiner.Settings{})
}

// Stats holds counters since the start of the router.
type Stats struct {
	Primaries       uint64 // first attempts of sub-requests, without those of restarts
	Hedges          uint64
	Retries         uint64 // repeated attempts that took a token of the budget
	Reroutes        uint64 // repeated attempts without a token, after an attempt that cost its upstream no work
	Restarts        uint64 // searches that changed their index version
	Resent          uint64 // sub-requests sent again by a restart; counted neither as primaries nor as retries
	BudgetRefusals  uint64
	LateReplies     uint64 // replies whose request no longer waited
	RejectedReplies uint64 // replies with another version, layout or shard set than expected
	DuplicateShards uint64 // shards delivered by a second group
	Reaped          uint64 // attempts whose end the transport did not report in time
}

// Stats returns the current counters.
func (m *Machine) Stats() Stats { return m.stats }
