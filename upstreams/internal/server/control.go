package server

import (
	"encoding/json"
	"net/http"
	"time"

	"comfreyroute/core/protocol/encoder"
)

// Paths of the control interface.
const (
	PathControl  = "/control"
	PathStats    = "/control/stats"
	PathExecuted = "/control/executed"
	PathHeld     = "/control/held"
)

// ControlHandler returns the handler of the control interface.
func (f *Fleet) ControlHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+PathControl, func(w http.ResponseWriter, r *http.Request) {
		var c Command
		err := encoder.Decode(r.Body, encoder.MaxCallerBytes, &c)
		n := 0
		if err == nil {
			n, err = f.ApplyCommand(c)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, map[string]int{"servers": n})
	})
	m.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Stats()) })
	m.HandleFunc("GET "+PathExecuted, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.ExecutedCalls()) })
	m.HandleFunc("GET "+PathHeld, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.HeldVersions()) })
	return m
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails if the peer has closed the connection
}

// HeldVersions returns the index versions that each upstream holds, by the name of the upstream.
func (f *Fleet) HeldVersions() map[string][]encoder.HeldVersion {
	all := make(map[string][]encoder.HeldVersion, len(f.upstreams))
	for _, u := range f.upstreams {
		u.mu.Lock()
		all[u.server.Name] = u.heldVersions
		u.mu.Unlock()
	}
	return all
}

// milliseconds returns a duration of n milliseconds, the unit of the fields of Command.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
