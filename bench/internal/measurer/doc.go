// Package measurer measures the cost of one entry VM on real processes at several numbers of shard groups: CPU time, resident
// memory and added latency. docs/CAPACITY.md works out the target scale from its figures.
package measurer
