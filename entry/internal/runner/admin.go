package runner

import (
	"encoding/json"
	"net/http"

	"comfreyroute/core/coordination/router"
	"comfreyroute/core/state/tabler"
	"comfreyroute/core/transport/connector"
	"comfreyroute/entry/internal/looper"
)

// status is the document of /admin/status.
type status struct {
	VM          string            `json:"vm"`
	Incarnation uint64            `json:"incarnation"`
	Domain      string            `json:"domain"`
	Ready       bool              `json:"ready"`
	Reason      string            `json:"reason,omitempty"`
	Requests    int               `json:"requests"`
	Open        int               `json:"open"`
	Busy        int               `json:"busy"`
	Transport   connector.Counts  `json:"transport"`
	Router      router.Stats      `json:"router"`
	Revisions   map[string]uint64 `json:"revisions"`
}

func (d *daemon) admin() map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"/admin/status": func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.status()) },
		"/admin/table":  func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.values()) },
	}
}

func (d *daemon) status() status {
	s := status{VM: d.settings.VM.ID, Incarnation: d.incarnation, Domain: d.settings.VM.FailureDomain, Revisions: map[string]uint64{}}
	s.Ready, s.Reason = d.ready()
	s.Requests = d.receiver.Running()
	s.Open, s.Busy = d.connector.Open()
	s.Transport = d.connector.Counts()
	d.loop.Inspect(func(looper.Machine) { s.Router = d.machine.Stats() })
	for _, v := range d.table.Load().All() {
		s.Revisions[v.Service.Service] = v.Revision
	}
	return s
}

// value is one value of /admin/table.
type value struct {
	Service  string          `json:"service"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

func (d *daemon) values() []value {
	values := []value{}
	for _, v := range d.table.Load().All() {
		if data, err := tabler.Encode(v); err == nil {
			values = append(values, value{v.Service.Service, v.Revision, data})
		}
	}
	return values
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
