package main

import (
	"encoding/json"
	"io"

	"comfreyroute/core/state/tabler"
	"comfreyroute/upstreams/describer"
)

// printTable writes the operators' table of a deployment: one JSON object of the stored values by their keys.
func printTable(w io.Writer, d *describer.Deployment) error {
	values := make(map[string]json.RawMessage)
	for _, v := range d.Table() {
		data, err := tabler.Encode(v)
		if err != nil {
			return err
		}
		values[tabler.Key(v.Service.Service)] = data
	}
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(values)
}
