package encoder

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"

	"github.com/rotisserie/eris"
)

// decode decodes a VM list. An entry that names no VM is skipped and counted: other writers may leave one, and the others still hold. The entries
// are separated here because encoding/json gives up on the whole text when one of them is nested too deeply.
func (l *VMList) decode(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	for _, want := range []json.Token{json.Delim('{'), "vms", json.Delim('[')} {
		if got, err := d.Token(); err != nil || got != want {
			return eris.Errorf("VM list: %v instead of %v (%v)", got, want, err)
		}
	}
	rest := data[d.InputOffset():]
	for first := true; ; first = false {
		rest = bytes.TrimLeft(rest, " \t\r\n")
		n := valueLength(rest)
		switch {
		case n < 0, n == 0 && !first: // an empty entry stands only in an empty list
			return eris.New("VM list: an entry does not end")
		case n > 0:
			l.add(rest[:n])
		}
		end := rest[n]
		rest = rest[n+1:]
		if end == ']' {
			break
		}
	}
	tail := json.NewDecoder(io.MultiReader(bytes.NewReader([]byte("{")), bytes.NewReader(rest)))
	for _, want := range []json.Token{json.Delim('{'), json.Delim('}')} {
		if got, err := tail.Token(); err != nil || got != want {
			return eris.Errorf("VM list: %v after the entries (%v)", got, err)
		}
	}
	if _, err := tail.Token(); err != io.EOF {
		return eris.New("VM list: data after its JSON value")
	}
	return nil
}

// add adds the VM that an entry names.
func (l *VMList) add(entry []byte) {
	var vm *ListedVM
	if json.Unmarshal(entry, &vm) != nil || vm == nil || vm.Name == "" {
		l.Skipped++
		return
	}
	if _, err := netip.ParseAddrPort(vm.Address); err != nil && vm.Address != "" {
		l.Skipped++
		return
	}
	l.VMs = append(l.VMs, *vm)
}

// valueLength returns the length of the JSON value at the start of a list's text, up to the comma or bracket that follows it. It returns -1 if none
// follows.
func valueLength(text []byte) int {
	depth, inString := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case depth == 0 && (c == ',' || c == ']'):
			return i
		case c == ']' || c == '}':
			depth--
		}
	}
	return -1
}
