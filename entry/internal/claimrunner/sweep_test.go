package claimrunner

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"comfreyroute/core/coordination/claimer"
	"comfreyroute/core/protocol/encoder"
	"comfreyroute/core/transport/kvclient"
)

// keyAt returns a UUIDv7 created at t.
func keyAt(t time.Time) string {
	var u uuid.UUID
	for i := range 6 {
		u[i] = byte(t.UnixMilli() >> (40 - 8*i))
	}
	u[6], u[8] = 0x70, 0x80
	return u.String()
}

// TestSweepOnce guards against deleting a claim whose key is still accepted, and against never deleting an expired claim.
func TestSweepOnce(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	old, kept := keyAt(now.Add(-90*time.Minute)), keyAt(now.Add(-50*time.Minute))
	keys := []string{claimer.KeyPrefix + old, claimer.KeyPrefix + kept}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			keys = slices.DeleteFunc(keys, func(k string) bool { return k == strings.TrimPrefix(r.URL.Path, encoder.PathKeys) })
			_ = json.NewEncoder(w).Encode(encoder.WriteReply{Revision: 9})
			return
		}
		var reply encoder.RangeReply
		for _, k := range keys {
			if strings.HasPrefix(k, r.URL.Query().Get("prefix")) && k > r.URL.Query().Get("after") {
				reply.Items = append(reply.Items, encoder.KeyValue{Key: k, Revision: 1})
			}
		}
		_ = json.NewEncoder(w).Encode(reply)
	}))
	defer server.Close()
	cr := &Runner{
		KVClient: &kvclient.Client{Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, Log: zap.NewNop(),
		Sweep: Sweep{Sweeper: claimer.Sweeper{KeyRetention: time.Hour}},
	}
	cr.Sweep.Pacer.Rate, cr.Sweep.Pacer.Burst = 1e6, 1e6
	cr.sweepOnce(context.Background(), now)
	if diff := cmp.Diff([]string{claimer.KeyPrefix + kept}, keys); diff != "" {
		t.Errorf("claims after the sweep (-want +got):\n%s", diff)
	}
}
