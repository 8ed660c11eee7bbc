#!/usr/bin/env bash
# Checks that the tests notice a missing mechanism: disables each mechanism in a scratch copy of the committed tree and runs the
# test that guards it, which must fail. The exit code is 1 if a test passes without its mechanism, if the code does not build without it, or if the
# source line of a mechanism was not found. Usage: scripts/without.sh [NAME ...]; the default is all mechanisms.
set -u
cd "$(dirname "$0")/.."
copy=$(mktemp -d "${TMPDIR:-/tmp}/comfreyroute-without.XXXXXX") || exit 1
trap 'rm -rf "$copy"' EXIT

# name | file | sed expression | package | test
mechanisms='
keys|core/coordination/authenticator/authenticator.go|s/return Denied{UnknownKey}/return Authenticated{Customer: \&Customer{}, Key: digest}/|core/coordination/forwarder|TestAuthentication
identity|platform/translator/upstreamcodec.go|s/case !s.Identity.Verified:/case true:/|platform/translator|TestIdentityOnTheWire
digest|core/coordination/forwarder/authentication.go|s/if c == nil .. c.Name != d.Identity.Customer {/if false {/|core/coordination/forwarder|TestAuthentication
grants|core/coordination/rationer/granter.go|s/a.level -= float64(out.Requests)/_ = out/|core/coordination/rationer|TestRateOverFleet
own-share|core/coordination/rationer/holder.go|s/^\ts.level--$/_ = s/|core/coordination/rationer|TestRateOverFleet
released|core/coordination/rationer/holder.go|s/h.freeAt, h.stored, h.nextAsk = now, o.Stored, now/h.freeAt, h.nextAsk = now.Add(contactLifetime), now/|core/coordination/rationer|TestShareBelowRate
late-grants|core/coordination/rationer/granter.go|s/lateReserve = 0.5/lateReserve = 0.0/|core/coordination/rationer|TestScarceGrants
snapshot|core/coordination/router/search.go|s/reply.Version != x.version .. reply.Layout != x.layout/false/|core/coordination/router|TestFaultMatrix
coverage|core/coordination/router/search.go|s/!m.shardSet.matches(expected, reply.Results, total)/len(expected) < 0/|core/coordination/router|TestFaultMatrix
budget|core/coordination/budgeter/budget.go|s/if b.tokens-tokenUnit < .*{$/if false {/|core/coordination/budgeter|TestBudgetHoldsInEveryWindow
window|core/coordination/budgeter/window.go|s/if w.available(now) < tokenUnit {/if false {/|core/coordination/budgeter|TestWindowHoldsInEverySpan
slack|core/coordination/budgeter/window.go|s/if w.available(now) < tokenUnit {/if w.level < tokenUnit {/|core/coordination/budgeter|TestWindowGrantsSlackAgain
endless|core/transport/bounder/reader.go|s/if s.left <= 0 {/if s.left < -1<<60 {/|core/transport/bounder|TestReader
heads|core/transport/bounder/reader.go|s/if !s.memory.TryTake(due) {/if false {/|core/transport/bounder|TestHeadsAreCounted
lines|core/transport/bounder/reader.go|s/s.left -= int64(lines) . fieldBytes/_ = lines/|core/transport/bounder|TestHeadsAfterInterimReplies
replaced|gateway/internal/relayer/history.go|s/if len(i.Value) < minPackedBytes {/if true {/;s/h.bytes > maxBytes/false/|gateway/internal/relayer|TestHistoryBytes
history|gateway/internal/relayer/history.go|s/h.bytes > maxBytes/false/|gateway/internal/relayer|TestHistoryBytes
hang|core/coordination/forwarder/routestate.go|s/s.delay = max(s.delay, minHedgeDelay)/_ = minHedgeDelay/|core/coordination/forwarder|TestTinyBudgets
lines-of-bodies|core/transport/acceptor/conn.go|s/c.ahead, c.left = 0, length-c.behind/_ = length/|core/transport/acceptor|TestBodiesAreNotHeads
copies|core/transport/requester/conn.go|s/n.identified .. !response.Identified/false/|core/transport/requester|TestLateCopies
begun|core/transport/requester/conn.go|s/<-writing .. Close has.*/_ = writing/|core/transport/requester|TestBegunRequestIsWritten
half|core/transport/requester/conn.go|s/err = cmp.Or(n.stopWrite(), err)/_ = cmp.Or(n.stopWrite(), err)/|core/transport/requester|TestReplyUntilClose
early|core/transport/requester/conn.go|s/err == nil .. !j.writeBegun.Load()/false/|core/transport/requester|TestCopyBeforeWrite
promise|core/coordination/forwarder/answer.go|s/ .. !sub.failedReply.PromisesNoRun//|core/coordination/forwarder|TestOutcomes
screen|core/coordination/forwarder/request.go|s/if (r.gather != nil .*m.screen(now, r) {/if false {/|core/coordination/forwarder|TestUnservableIsRefusedAtOnce
rate|core/coordination/selector/pick.go|s/!u.hasRoom(now)/u.InFlight >= u.Limit()/|core/coordination/forwarder|TestFleetKeepsDeclaredRate
lapse|core/coordination/limiter/quota.go|s/minGrantLifetime = time.Second/minGrantLifetime = time.Hour/|core/coordination/forwarder|TestFleetKeepsDeclaredRate
overtaken|core/coordination/limiter/quota.go|s/ .. sent.After(q.declaredAt)//|core/coordination/limiter|TestQuotaChanges
era|gateway/internal/watcher/source.go|s/c.Era != 0 .. w.era != 0 .. c.Era != w.era/c.Era == 1 \&\& w.era == 2/|gateway/internal/watcher|TestManifestAfterRestore
copy|gateway/internal/watcher/registry.go|s/ .. e.Precedes(&reg.entry) {/ \&\& false {/|gateway/internal/watcher|TestUpstreamsAfterRestore
leases|platform/translator/vm.go|s/era := s.era.Load(); era != 0 .. era != lease.Era/false/|platform/translator|TestEras
queue|core/transport/acceptor/acceptor.go|s/case draining:/case !draining:/|core/transport/acceptor|TestDrainServesQueuedConnections
detour|core/coordination/navigator/reach.go|s/if late < r.needed() .. len(services) < .*{$/if true {/|core/coordination/forwarder|TestStrandedVMUsesPeers
elsewhere|core/coordination/navigator/elsewhere.go|s/case e.Unreached(now), .*:/case false:/|core/coordination/navigator|TestElsewhere
trial|core/coordination/navigator/reach.go|s/if r.lost .. r.trial.Arm(now) {/if r.RecordReply(now) {/|core/coordination/forwarder|TestReturnOfUpstreams
refused|core/coordination/navigator/reach.go|s/silent := .*$/silent := !t.armedAt.IsZero()/|core/coordination/navigator|TestProbesAfterRefusedTrials
hosted|core/coordination/forwarder/detour.go|s/return OutOfReach, false/return None, true/|core/coordination/forwarder|TestHostedRequestIsNotSentOn
attempts|core/coordination/forwarder/request.go|s/n = min(n, r.detoured.Attempts)/_ = n/|core/coordination/forwarder|TestHostKeepsTheLimitsOfBothVMs
route|core/coordination/forwarder/detour.go|s/r.detoured.Route != r.fingerprint/false/|core/coordination/forwarder|TestHostKeepsTheLimitsOfBothVMs
beside|core/coordination/forwarder/dispatch.go|s/if r.detour != nil { .*/if false {/;s/if r.detour != nil .. /if /|core/coordination/forwarder|TestFleetKeepsPromisesOverTwoVMs
own|core/coordination/ranker/order.go|s/if r.Detoured != o.Detoured {/if false {/|core/coordination/forwarder|TestHostedRequestsComeAfterOwnOnes
admit|core/coordination/navigator/admit.go|s/ .. !l.Waiting//|core/coordination/navigator|TestAdmit
reserve|core/coordination/navigator/peers.go|s/if now.Sub(s.goneAt) < goneLifetime {/if false {/|core/coordination/navigator|TestPeersInReserve
refusing|core/coordination/forwarder/dispatch.go|s/if !sub.service.unreachable(now) { .*/if true {/|core/coordination/forwarder|TestRefusingUpstreamsKeepTheBudget
leaving|core/coordination/forwarder/notice.go|s/if r.Leaving {/if false {/|core/coordination/forwarder|TestNotices
wait|core/coordination/forwarder/notice.go|s/if r.Pause > 0 .. /if false \&\& /|core/coordination/forwarder|TestNotices
notices|core/coordination/selector/set.go|/s.attachNotice(u)/d|core/coordination/forwarder|TestNotices
late|core/coordination/forwarder/request.go|s/if m.refuseAtStop(now, r) {/if false {/|core/coordination/forwarder|TestLateRequestsAtStop
grace|core/coordination/forwarder/stop.go|s/if r.answerBy.After(answerBy) {/if false {/|core/coordination/forwarder|TestStopEndsRequestsInProgress
removal|gateway/internal/watcher/registry.go|/reg.entry.Revision = e.Revision/d|gateway/internal/watcher|TestRegistry
draining|core/coordination/selector/upstream.go|s/return !u.Draining .. !u.Leaving .. u.Row.Weight > 0/return u.Row.Weight > 0/|core/coordination/router|TestRandomEvents
crossed|core/transport/connector/message.go|s/reply.RequestID != id/reply.RequestID == ""/;s/h != "" .. h != id/h == "none"/|core/transport/connector|TestSendEnds
silent|core/coordination/prober/prober.go|s/return unresponsive$/return nil/|core/transport/connector|TestSendEnds
claims|core/coordination/claimer/claim.go|s/case rec.State == StateReleased .. slices.Contains(r.abandonedNonces, rec.Nonce):/case rec.State != StateDone:/|core/coordination/claimer|TestAtMostOnce
revision|core/coordination/claimer/claim.go|s/^	r.revision = 0$/	r.isFinal = false/|core/coordination/claimer|TestAtMostOnce
tickets|core/coordination/claimer/tickets.go|s/t.VM == s.m.config.VM .. t.Incarnation == s.m.config.Incarnation/t.VM == s.m.config.VM/|core/coordination/claimer|TestTicketOfRestartedVM
pause|core/coordination/claimer/run.go|s/deadline.Sub(s.now) < s.m.config.DispatchMargin/false/|core/coordination/claimer|TestPauseBeforeDispatch
quarantine|core/coordination/quarantiner/machine.go|s/if s == nil .. s.Service != service {/if true {/|core/coordination/quarantiner|TestCrashingRequest
outage|core/coordination/quarantiner/evaluate.go|s/^func (m \*Machine) isOutage(now time.Time, domain string) bool {$/&\n\tif true {\n\t\treturn false\n\t}/|core/coordination/quarantiner|TestOutage
table|core/state/tabler/snapshot.go|s/v == nil .. v.Revision <= s.Revision(v.Service.Service)/v == nil/|core/state/tabler|TestSnapshotWith
editid|core/coordination/synchronizer/editor.go|s/if theirs.HasEdit(d.Edit.ID) {/if false {/|core/coordination/synchronizer|TestEditorFaultMatrix
isolation|core/coordination/tracker/readiness.go|s/now.Sub(m.lastContact) <= IsolationTimeout/true/|core/coordination/tracker|TestIsolated
gate|core/coordination/tracker/readiness.go|s/m.isAdmitted = others < m.fleetMax/m.isAdmitted = others >= 0/|core/coordination/tracker|TestAdmission
shutdown|core/coordination/drainer/machine.go|s/m.phase == Finishing .. e.Work.Empty()/m.phase == Finishing/|core/coordination/drainer|TestShutdown
crashes|core/coordination/forwarder/crash.go|s/m.quarantine.RecordCrash(now, a.signature, c, a.alone)/_ = c/|core/coordination/forwarder|TestFleetStopsCrashingRequests
refuse|core/coordination/forwarder/quarantine.go|s/if d == quarantiner.Clear .. !now.Before(until) {/if true {/|core/coordination/forwarder|TestSearchThatCrashesItsUpstreams
alone|core/coordination/forwarder/quarantine.go|s/		if r.alone != 0 {/		if false {/|core/coordination/forwarder|TestSuspectRunsAlone
hold|core/coordination/forwarder/quarantine.go|s/if now.Before(sub.heldUntil) .. /if false \&\& /|core/coordination/forwarder|TestSearchThatCrashesItsUpstreams
contact|core/coordination/forwarder/crash.go|s/func(p pendingReset) (known, crashed bool) {$/&\n\t\tif p.refused {\n\t\t\treturn true, true\n\t\t}/;s/			p.refused = p.refused .. first$/&\n\t\t\tdefer m.recordUpstreamContact(now, "")/|core/coordination/forwarder|TestUnreachedUpstreamsHaveNotCrashed
listed|core/coordination/forwarder/service.go|/m.resolveReplaced(now, s.name, upstreams)/d|core/coordination/forwarder|TestCrashSeenInTheList
spread|core/coordination/forwarder/machine.go|s/m.emit(PublishEvidence{Evidence: evidence})/_ = evidence/|core/coordination/forwarder|TestFleetStopsCrashingRequests
told|core/coordination/forwarder/request.go|s/suspect: e.Detour != nil .. e.Detour.Suspect/suspect: false/|core/coordination/forwarder|TestSuspectAtPeers
answered|core/coordination/quarantiner/watchlist.go|s/return ok .. now.Sub(at) < exonerationTime/return ok \&\& now.Sub(at) < 0/|core/coordination/quarantiner|TestWatchlist
explained|core/coordination/quarantiner/publication.go|s/slices.Contains(known.explained, c)/false/|core/coordination/quarantiner|TestWatchlist
republish|core/coordination/quarantiner/publication.go|s/if e.confirmed .. len(e.confirmedBy) == 0 {/if false {/|core/coordination/quarantiner|TestPublications
flood|core/coordination/quarantiner/watchlist.go|s/if len(w.entries) >= w.Settings.maxSuspects() {/if false {/|core/coordination/quarantiner|TestFloodOfCrashingRequests
oddlist|core/protocol/encoder/decode.go|s/if l, ok := v.(.VMList); ok {/if l, ok := v.(*VMList); ok \&\& l == nil {/|core/transport/kvclient|TestOddVMEntries
oddvm|platform/translator/vm.go|s/json.Unmarshal(i.Value, &value) == nil .. value.isVM()/json.Unmarshal(i.Value, \&value) == nil \&\& value.Address.IsValid()/|platform/translator|TestVMEntries
unsigned|core/coordination/forwarder/upstream.go|s/return r.claimsSuccess() .. !r.proven()/return false/|core/coordination/forwarder|TestUnsignedSuccess
status|platform/translator/upstreamcodec.go|s/if !IsFinalStatus(response.StatusCode) {/if false {/|platform/translator|TestImpossibleStatus
caller|platform/translator/upstreamcodec.go|s/ .. status <= maxStatus//|platform/translator|TestImpossibleStatusToCaller
peerstatus|gateway/internal/detourer/protocol.go|s/err != nil .. !translator.IsFinalStatus(status)/err != nil/|gateway/internal/detourer|TestImpossibleStatus
substatus|core/transport/connector/message.go|s/response.StatusCode != http.StatusOK .. //|core/transport/connector|TestReplyWithAnotherStatus
evacuated|core/coordination/forwarder/evacuation.go|s/bool { return slices.Contains(m.evacuated, u.FailureDomain) }/bool { return u == nil }/|core/coordination/forwarder|TestEvacuation
emptied|core/coordination/forwarder/evacuation.go|s/	m.configureReach()$/	_ = m/|core/coordination/forwarder|TestLossWhileEvacuated
regained|core/coordination/selector/set.go|s/	u.rampStart, u.latency = now, latencyAverage{}$/	_ = u/|core/coordination/forwarder|TestEvacuation
takenback|gateway/internal/watcher/evacuations.go|s/	e.entries = nil$/	_ = e/|gateway/internal/watcher|TestEvacuations
readfirst|gateway/internal/watcher/watcher.go|s/if w.evacuations.replace(c.Evacuations) {/if w.evacuations.replace(nil) {/|gateway/internal/watcher|TestEvacuations
cold|core/coordination/selector/warmup.go|s/	if !u.IsCold(now) {/	if true {/|core/coordination/forwarder|TestColdUpstreams
unannounced|core/coordination/selector/upstream.go|/u.extendCold(now.Add(coldTime))/d|core/coordination/forwarder|TestColdUpstreams
coldhedge|core/coordination/selector/pick.go|s/(limited .. u.IsCold(now))/limited/|core/coordination/forwarder|TestColdUpstreamGetsNoHedges
countdown|gateway/internal/watcher/registry.go|/after.ColdFor = max(after.ColdFor, before.ColdFor)/d|gateway/internal/watcher|TestColdEntries
orphans|core/coordination/forwarder/quarantine.go|s/			m.recordOrphan(now, a)/			_ = a/|core/coordination/forwarder|TestFleetStopsLateCrashes
linger|core/coordination/forwarder/dispatch.go|s/		linger = aloneLinger/		linger = 0/|core/coordination/forwarder|TestSuspectIsWatchedToItsEnd
awaited|core/transport/requester/client.go|s/if j == nil .. j.conn != nil .. j.send.Linger > 0 {/if j == nil {/|core/transport/requester|TestLinger
same|core/coordination/forwarder/orphan.go|s/	a := m.aloneRuns.signature.$/	a := (*attempt)(nil)/|core/coordination/forwarder|TestSuspectIsWatchedToItsEnd
turns|core/coordination/quarantiner/watchlist.go|s/len(e.crashes) < turnCrashes/e != nil/|core/coordination/quarantiner|TestTurns
outlived|core/coordination/quarantiner/watchlist.go|s/return ok .. now.Sub(at) < survivalTime/return ok \&\& now.Sub(at) < 0/|core/coordination/quarantiner|TestWatchlist
relisted|core/coordination/forwarder/service.go|/m.resolveOrphans(now, s, upstreams)/d|core/coordination/forwarder|TestOrphanEvidence
answeredby|core/coordination/quarantiner/watchlist.go|s/if alone .. !w.answeredElsewhere.*{$/if alone {/|core/coordination/quarantiner|TestWatchlist
rivals|core/coordination/quarantiner/watchlist.go|s/now.Before(settled)/false/|core/coordination/quarantiner|TestRivalAtAnotherVM
untold|core/coordination/selector/set.go|s/case u.unheard >= maxUnheard/case u.unheard < 0/|core/coordination/forwarder|TestRateIsLearnedFromFailedSearches
news|core/coordination/forwarder/service.go|s/if r.Rate != nil {/if false {/|core/coordination/forwarder|TestRateNews
hearsay|core/coordination/selector/quota.go|s/hearsayMargin = 500/hearsayMargin = 0/|core/coordination/selector|TestQuotaOutlivesEntry
overrun|core/transport/requester/conn.go|s/response.Reply.Overrun, response.KeepAlive = true, false/response.KeepAlive = false/|platform/translator|TestBytesAfterReply
lineends|platform/translator/framing.go|s/if err := checkHead(r); err != nil {/if err := checkHead(r); false {/|platform/translator|TestSpoiledReply
unframed|platform/translator/upstreamcodec.go|s/ .. isChunked(body) {/ \&\& false {/|platform/translator|TestSpoiledReply
nocontent|platform/translator/upstreamcodec.go|s/if response.StatusCode == http.StatusNoContent .. /if false \&\& /|platform/translator|TestNoContentWithBody
unheld|core/coordination/forwarder/crash.go|s/		m.releaseUnexplained(now, e)/		_ = e/|core/coordination/forwarder|TestSuspectRunsAlone
stall|core/transport/requester/client.go|s/written, err = n.tryWrite(b)/written, err = n.nc.Write(b)/|core/transport/requester|TestSendNeverBlocks
unread|core/transport/requester/client.go|s/n.long = n.long .. len(b) > maxInlineBytes/n.long = false/|core/transport/requester|TestRequestAfterEarlyReply
toolong|gateway/internal/watcher/source.go|s/if errors.Is(err, translator.ErrTooLong) {/if false {/|gateway/internal/watcher|TestWatcher
spool|core/transport/spooler/spooler.go|s/if len(s.pending)+s.writing+len(line) > limit {/if false {/|core/transport/spooler|TestLogIsNotRead
room|core/transport/spooler/spooler.go|s/limit -= reservedBytes/limit -= 0/|core/transport/spooler|TestLogIsNotRead
pipe|core/transport/spooler/spooler.go|s/signal.Ignore(syscall.SIGPIPE)/_ = syscall.SIGPIPE/;s/	"os.signal"//|core/transport/spooler|TestStandardOutputIsClosed
return|core/coordination/pacer/pacer.go|s/now.Before(p.delayEnd) .. !p.limiter.AllowN(now, 1)/now.Before(p.delayEnd)/|core/coordination/pacer|TestReturnOfPlatform
'
names="$*"
status=0
git archive HEAD | tar -x -C "$copy" || exit 1
while IFS='|' read -r name file edit package test; do
	[ -n "$name" ] || continue
	case " $names " in *" $name "*) ;; *) [ -z "$names" ] || continue ;; esac
	cp "$copy/$file" "$copy/original"
	# The expressions match || and && as "..", any two characters, because | separates the columns.
	sed -i "$edit" "$copy/$file"
	if cmp -s "$copy/original" "$copy/$file"; then
		printf '%-11s the source line of the mechanism was not found in %s\n' "$name" "$file"
		status=1
		continue
	fi
	flags=''
	grep -qs 'rapid.Check' "$copy/$package"/*_test.go && flags='-rapid.shrinktime=1s'
	# shellcheck disable=SC2086
	out=$(cd "$copy" && go test -count=1 -timeout 45s -run "^$test\$" "./$package" $flags 2>&1)
	if [ $? -eq 0 ]; then
		printf '%-11s NOT NOTICED by %s %s\n' "$name" "$package" "$test"
		status=1
	elif printf '%s\n' "$out" | grep -qE 'build failed|setup failed'; then
		printf '%-11s does not build without it\n' "$name"
		status=1
	else
		line=$(printf '%s\n' "$out" | grep -v 'rapid\] draw' | grep -E '_test.go:[0-9]+:|\.go:[0-9]+:[0-9]+:|panic' | grep -v 'rapid\] fail' | head -n 1 | cut -c 1-150)
		printf '%-11s fails without it: %s:%s\n' "$name" "$test" "$line"
	fi
	cp "$copy/original" "$copy/$file"
done <<EOF
$mechanisms
EOF
exit $status
