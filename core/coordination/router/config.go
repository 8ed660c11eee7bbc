package router

import (
	"math/rand/v2"

	"comfreyroute/core/coordination/quarantiner"
	"comfreyroute/core/coordination/selector"
)

// Config holds what a Machine takes from the settings of its VM.
type Config struct {
	FailureDomain string
	VM            string
	Selection     selector.Policy
	HedgeOff      bool
	AdaptiveOff   bool       // keeps in-flight limits at the connection share
	Random        *rand.Rand // nil uses a generator with a fixed seed
}

// Configure sets the configuration. It is called before the first Step.
func (m *Machine) Configure(c Config) {
	m.config = c
	m.random = c.Random
	m.quarantine.Configure(c.VM, quarantiner.Settings{})
}

// Stats counts what the router saw and did since it started.
type Stats struct {
	Primaries       uint64 // sub-requests that every request needs
	Hedges          uint64
	Retries         uint64 // second attempts that took a token
	Reroutes        uint64 // second attempts of sub-requests of which no byte was written
	Restarts        uint64 // searches that changed their index version
	Resent          uint64 // sub-requests that restarts sent again; neither primaries nor retries
	BudgetRefusals  uint64
	LateReplies     uint64 // replies that nothing waited for
	RejectedReplies uint64 // replies with another version, layout or shard set
	DuplicateShards uint64 // shards that a second group delivered
	Reaped          uint64 // attempts whose end the transport did not report in time
}

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }
