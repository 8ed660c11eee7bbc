package tracker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyroute/core/protocol/exchanger"
)

// slopeSizes are the fleet sizes at which docs/CAPACITY.md measures the membership exchange.
var slopeSizes = []int{7, 28, 100, 400, 1400}

func sizedMachine(n int) *Machine {
	m := &Machine{Self: record(0, 1<<60, 1<<30), Random: rand.New(rand.NewPCG(1, 1))}
	var records []Record
	for i := 1; i < n; i++ {
		records = append(records, record(i, 1<<60, 1<<20))
	}
	m.Step(start, RecordsReceived{records})
	return m
}

func message(records []Record) *exchanger.News {
	n := &exchanger.News{Sender: records[0].Message()}
	for _, r := range records[1:] {
		n.Members = append(n.Members, r.Message())
	}
	return n
}

// BenchmarkSlopeTick measures one step without news; a VM makes ten in a second.
func BenchmarkSlopeTick(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := sizedMachine(n)
			b.ReportAllocs()
			for b.Loop() {
				m.Step(start, Ticked{})
			}
		})
	}
}

// BenchmarkSlopeHeard measures one step with the records of one message, with higher heartbeats.
func BenchmarkSlopeHeard(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := sizedMachine(n)
			records := sizedMachine(n).SelectRecords(0)[1:]
			b.ReportAllocs()
			for b.Loop() {
				for i := range records {
					records[i].Heartbeat++
				}
				m.Step(start, RecordsReceived{records})
			}
		})
	}
}

// BenchmarkSlopeViewChanged measures a step that changes the view, as each restart of a VM does twice.
func BenchmarkSlopeViewChanged(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := sizedMachine(n)
			r := record(1, 1<<60, 1<<20)
			b.ReportAllocs()
			for b.Loop() {
				r.Incarnation++
				m.Step(start, RecordsReceived{[]Record{r}})
			}
		})
	}
}

// BenchmarkSlopeMembers measures the copy of the view that the daemon stores after each step.
func BenchmarkSlopeMembers(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := sizedMachine(n)
			b.ReportAllocs()
			for b.Loop() {
				m.Members()
			}
		})
	}
}

// BenchmarkSlopeMessage measures the records of one message, and reports their bytes and number.
func BenchmarkSlopeMessage(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := sizedMachine(n)
			b.ReportAllocs()
			size, members := 0, 0
			for b.Loop() {
				x := message(m.SelectRecords(0))
				size, members = proto.Size(x), len(x.Members)
			}
			b.ReportMetric(float64(size), "B/message")
			b.ReportMetric(float64(members), "members/message")
		})
	}
}

// BenchmarkSlopeMemory reports the heap bytes of a view for each member.
func BenchmarkSlopeMemory(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var size uint64
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				m := sizedMachine(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				size = after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
				runtime.KeepAlive(m)
			}
			b.ReportMetric(float64(size)/float64(n), "heapB/member")
		})
	}
}

// BenchmarkSlopeSpread reports how long a new incarnation takes to reach half, 99 in 100 and all views by exchanges alone, in
// simulated time, and the share of views that lack it at the end of spreadLimit.
func BenchmarkSlopeSpread(b *testing.B) {
	for _, n := range slopeSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				reached := spread(n)
				b.ReportMetric(100*float64(n-1-len(reached))/float64(n-1), "%missing")
				for name, share := range map[string]float64{"s/half": 0.5, "s/99%": 0.99, "s/all": 1} {
					if k := int(math.Ceil(share * float64(n-1))); k <= len(reached) {
						b.ReportMetric(reached[k-1].Seconds(), name)
					}
				}
			}
		})
	}
}

// spreadLimit bounds the simulated time of a spread.
const spreadLimit = 12 * time.Second

// spread runs n machines with complete views in which nothing is urgent, all exchanges succeed at once, and machine 0 takes a
// new incarnation. It returns when each view had it.
func spread(n int) []time.Duration {
	ms := make([]*Machine, n)
	index := make(map[string]int, n)
	for i := range ms {
		ms[i] = &Machine{Self: record(i, 9, 1), Random: rand.New(rand.NewPCG(uint64(i), 1))}
		index[ms[i].Self.ID] = i
	}
	for _, m := range ms {
		var records []Record
		for _, p := range ms {
			records = append(records, p.Self)
		}
		m.Step(start, RecordsReceived{records})
		for _, e := range m.entries {
			e.urgent = 0
		}
		m.next = start.Add(time.Duration(m.Random.Int64N(int64(largeInterval)))) // VMs do not start together
	}
	changed := ms[0].Self.ID
	ms[0].Self.Incarnation++
	var reached []time.Duration
	has := make([]bool, n)
	for at := TickInterval; at <= spreadLimit && len(reached) < n-1; at += TickInterval {
		now := start.Add(at)
		for _, m := range ms {
			for _, a := range m.Step(now, Ticked{}) {
				if x, ok := a.(StartExchange); ok {
					p := ms[index[x.To.ID]]
					p.Step(now, RecordsReceived{m.SelectRecords(0)})
					m.Step(now, RecordsReceived{p.SelectRecords(0)})
					m.Step(now, ExchangeAnswered{x.To.ID, now})
				}
			}
		}
		for i, m := range ms[1:] {
			if !has[i] && m.entries[changed].record.Incarnation == ms[0].Self.Incarnation {
				has[i] = true
				reached = append(reached, at)
			}
		}
	}
	return reached
}
