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

// Control returns the handler of the control interface.
func (f *Fleet) Control() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+PathControl, func(w http.ResponseWriter, r *http.Request) {
		var c Command
		err := encoder.Decode(r.Body, encoder.MaxCallerBytes, &c)
		n := 0
		if err == nil {
			n, err = f.Apply(c)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer(w, map[string]int{"servers": n})
	})
	m.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) { answer(w, f.Stats()) })
	m.HandleFunc("GET "+PathExecuted, func(w http.ResponseWriter, _ *http.Request) { answer(w, f.Executed()) })
	m.HandleFunc("GET "+PathHeld, func(w http.ResponseWriter, _ *http.Request) { answer(w, f.Held()) })
	return m
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have gone
}

// Held returns the index versions that each server holds, by its name.
func (f *Fleet) Held() map[string][]encoder.HeldVersion {
	all := make(map[string][]encoder.HeldVersion, len(f.hosts))
	for _, h := range f.hosts {
		h.mu.Lock()
		all[h.server.Name] = h.held
		h.mu.Unlock()
	}
	return all
}

// milliseconds converts a field of a command.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
