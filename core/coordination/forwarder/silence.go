package forwarder

import (
	"time"

	"comfreyroute/core/coordination/reporter"
)

// silenceFactor is the multiple of the usual latency from which an attempt without a reply is reported to other VMs. A second attempt elsewhere,
// sent when the first one is late, would have replied by then.
const silenceFactor = 3

// TakeReports returns the results of attempts and what upstreams have declared, by upstream, since the last call. The age of an attempt that is still
// without a reply counts: an upstream that is silent or slow would else be known only when its first requests end.
func (m *Machine) TakeReports(now time.Time) []reporter.Report {
	m.reportSilences(now)
	for _, s := range m.services {
		m.reportRates(now, s)
	}
	return m.collector.TakeReports()
}

// TakeNews is TakeReports if an upstream has failed, been silent or slow since the last call of either, else it returns nil and keeps the reports.
func (m *Machine) TakeNews(now time.Time) []reporter.Report {
	m.reportSilences(now)
	if !m.collector.News() {
		return nil
	}
	return m.TakeReports(now)
}

func (m *Machine) reportSilences(now time.Time) {
	for _, a := range m.attempts {
		m.reportSilence(now, a)
	}
}

func (m *Machine) reportSilence(now time.Time, a *attempt) {
	if a.toPeer || a.cancelled || !m.repliedAt.After(a.sent) { // without another reply since, the silence may be that of this VM's network
		return
	}
	age, usual := now.Sub(a.sent), a.route.usualLatency(now)
	if usual == 0 || age < silenceFactor*usual {
		return
	}
	m.collector.RecordSilence(a.service.name, a.upstream, age, a.reported, usual)
	a.reported = max(a.reported, age)
}
