package configloader

import (
	"io"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// maxFileBytes bounds a settings file. The largest file with every key set has about 1 KB.
const maxFileBytes = 64 << 10

// Load reads and checks a settings file. It returns Faults with every fault of the file.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open settings")
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, eris.Wrapf(err, "%s: read settings", path)
	}
	return Parse(path, data)
}

// Parse checks the content of a settings file. Name is the file's name in error messages.
func Parse(name string, data []byte) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, eris.Errorf("%s: settings have %d bytes or more: allowed are up to %d", name, len(data), maxFileBytes)
	}
	// Shadow values keep repeated keys, which are rejected: the library otherwise takes the last one without a warning.
	options := ini.LoadOptions{IgnoreContinuation: true, AllowShadows: true, AllowDuplicateShadowValues: true, KeyValueDelimiters: "="}
	file, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, eris.Wrapf(err, "%s: parse settings", name)
	}
	p := &parser{name: name, settings: Defaults(), seen: map[string]bool{}}
	for _, section := range file.Sections() {
		p.section(section)
	}
	p.finish()
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return &p.settings, nil
}

// parser collects the settings and faults of one file.
type parser struct {
	name     string
	settings Settings
	seen     map[string]bool // section and key, joined by a space
	faults   SettingErrors
}

func (p *parser) fault(section, key, value, allowed string) {
	p.faults = append(p.faults, SettingError{File: p.name, Section: section, Key: key, Value: value, Allowed: allowed})
}

func (p *parser) section(s *ini.Section) {
	section := s.Name()
	if section == ini.DefaultSection && len(s.Keys()) == 0 {
		return
	}
	keys := keysOf(section)
	if len(keys) == 0 {
		p.fault(section, "", "", "one of the sections "+strings.Join(sections(), ", "))
		return
	}
	for _, k := range s.Keys() {
		values := k.ValueWithShadows()
		i := slices.IndexFunc(settings, func(x setting) bool { return x.section == section && x.key == k.Name() })
		switch {
		case i < 0:
			p.fault(section, k.Name(), k.Value(), "one of the keys "+strings.Join(keys, ", "))
		case len(values) > 1:
			p.fault(section, k.Name(), strings.Join(values, ", "), "one value")
		case !settings[i].set(&p.settings, k.Value()):
			p.fault(section, k.Name(), k.Value(), settings[i].allowed)
		}
		p.seen[section+" "+k.Name()] = true
	}
}

// finish checks what depends on more than one key.
func (p *parser) finish() {
	for _, x := range settings {
		if x.required && !p.seen[x.section+" "+x.key] {
			p.fault(x.section, x.key, "", x.allowed+"; it has no default")
		}
	}
	s := &p.settings
	if s.Shutdown.HardLimit <= s.Shutdown.BalancerWait {
		p.fault("shutdown", "limit", s.Shutdown.HardLimit.String(), "a duration above that of wait, "+s.Shutdown.BalancerWait.String())
	}
	if s.VM.CallerAddress.IsValid() && s.VM.CallerAddress == s.VM.PeerAddress {
		p.fault("vm", "peers", s.VM.PeerAddress.String(), "an address other than that of callers")
	}
	if s.VM.ID == "" {
		s.VM.ID = s.VM.PeerAddress.String()
	}
}

func keysOf(section string) []string {
	var keys []string
	for _, x := range settings {
		if x.section == section {
			keys = append(keys, x.key)
		}
	}
	return keys
}

func sections() []string {
	var names []string
	for _, x := range settings {
		if !slices.Contains(names, x.section) {
			names = append(names, x.section)
		}
	}
	return names
}
