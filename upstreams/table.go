package main

import (
	"encoding/json"
	"io"

	"comfreyroute/core/state/tabler"
	"comfreyroute/upstreams/describer"
)

// printTable writes the operators' table of a deployment as a JSON object, which holds each stored value by its key.
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
