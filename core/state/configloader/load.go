package configloader

import (
	"io"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// maxFileBytes limits the size of a settings file. A file that sets every key has about 1 KB.
const maxFileBytes = 64 << 10

// Load reads and validates a settings file. It returns SettingErrors with every invalid setting of the file.
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

// Parse parses and validates the content of a settings file. The name of the file is used in error messages.
func Parse(name string, data []byte) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, eris.Errorf("%s: settings have at least %d bytes, limit is %d", name, len(data), maxFileBytes)
	}
	// Shadow values keep repeated keys, so that they can be rejected. Without them the library silently uses the last value.
	options := ini.LoadOptions{IgnoreContinuation: true, AllowShadows: true, AllowDuplicateShadowValues: true, KeyValueDelimiters: "="}
	file, err := ini.LoadSources(options, data)
	if err != nil {
		return nil, eris.Wrapf(err, "%s: parse settings", name)
	}
	p := &parser{name: name, settings: Defaults(), seen: map[string]bool{}}
	for _, section := range file.Sections() {
		p.parseSection(section)
	}
	p.checkSettings()
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	return &p.settings, nil
}

// parser collects the settings and errors of one file.
type parser struct {
	name     string
	settings Settings
	seen     map[string]bool // section and key, joined by a space
	errs     SettingErrors
}

func (p *parser) addError(section, key, value, allowed string) {
	p.errs = append(p.errs, SettingError{File: p.name, Section: section, Key: key, Value: value, Allowed: allowed})
}

func (p *parser) parseSection(s *ini.Section) {
	section := s.Name()
	if section == ini.DefaultSection && len(s.Keys()) == 0 {
		return
	}
	keys := sectionKeys(section)
	if len(keys) == 0 {
		p.addError(section, "", "", "one of the sections "+strings.Join(sectionNames(), ", "))
		return
	}
	for _, k := range s.Keys() {
		values := k.ValueWithShadows()
		i := slices.IndexFunc(settings, func(x setting) bool { return x.section == section && x.key == k.Name() })
		switch {
		case i < 0:
			p.addError(section, k.Name(), k.Value(), "one of the keys "+strings.Join(keys, ", "))
		case len(values) > 1:
			p.addError(section, k.Name(), strings.Join(values, ", "), "one value")
		case !settings[i].set(&p.settings, k.Value()):
			p.addError(section, k.Name(), k.Value(), settings[i].allowed)
		}
		p.seen[section+" "+k.Name()] = true
	}
}

// checkSettings checks required settings and those that depend on each other, and sets the default id.
func (p *parser) checkSettings() {
	for _, x := range settings {
		if x.required && !p.seen[x.section+" "+x.key] {
			p.addError(x.section, x.key, "", x.allowed+"; it has no default")
		}
	}
	s := &p.settings
	if s.Shutdown.HardLimit <= s.Shutdown.BalancerWait {
		p.addError("shutdown", "limit", s.Shutdown.HardLimit.String(), "a duration above wait, which is "+s.Shutdown.BalancerWait.String())
	}
	if s.VM.CallerAddress.IsValid() && s.VM.CallerAddress == s.VM.PeerAddress {
		p.addError("vm", "peers", s.VM.PeerAddress.String(), "an address other than that of callers")
	}
	if s.VM.ID == "" {
		s.VM.ID = s.VM.PeerAddress.String()
	}
}

func sectionKeys(section string) []string {
	var keys []string
	for _, x := range settings {
		if x.section == section {
			keys = append(keys, x.key)
		}
	}
	return keys
}

func sectionNames() []string {
	var names []string
	for _, x := range settings {
		if !slices.Contains(names, x.section) {
			names = append(names, x.section)
		}
	}
	return names
}
