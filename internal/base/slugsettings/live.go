package slugsettings

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// settleTime is how long a settings file must stay the same before its content is used, so that
// a file that is being written is not taken for a complete one.
const settleTime = 200 * time.Millisecond

// Live holds the settings in effect of a daemon while it runs, and reloads them. It is safe
// for concurrent use.
type Live struct {
	loader   *Loader
	path     string
	inEffect atomic.Pointer[Settings]

	mu sync.Mutex
	// values holds the value in effect of each setting by name.
	values map[string]string
	// last is the file that was applied last.
	last      document
	listeners []func(*Settings)
}

// document is the content of a settings file.
type document struct {
	content []byte
	file    *ini.File
}

// Change is a setting with a new value in the file, the environment or the flags.
type Change struct {
	Setting
	From, To string
}

// String returns the change as one text, such as "bounds.drain from 2s to 3s".
func (c Change) String() string { return fmt.Sprintf("%s from %s to %s", c.Name(), c.From, c.To) }

// Reloaded is the result of a reload.
type Reloaded struct {
	// Applied are the changes that have taken effect.
	Applied []Change
	// AtStart are the changes that take effect at the next start.
	AtStart []Change
}

// LoadLive loads the settings as Load does, and keeps them for reloads.
func (l *Loader) LoadLive(path string) (*Live, error) {
	x := &Live{loader: l, path: path, values: map[string]string{}, last: document{file: ini.Empty()}}
	if path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, Problems{{"", "--settings", path, err.Error()}}
		}
		if x.last, err = parseDocument(path, b); err != nil {
			return nil, err
		}
	}
	s, err := l.apply(x.last.file)
	if err != nil {
		return nil, err
	}
	for _, e := range l.effective {
		x.values[e.Name()] = e.Value
	}
	x.inEffect.Store(s)
	return x, nil
}

// parseDocument parses the content of a settings file.
func parseDocument(path string, b []byte) (document, error) {
	file, err := Parse(b)
	if err != nil {
		return document{}, Problems{{"", "--settings", path, err.Error()}}
	}
	return document{content: b, file: file}, nil
}

// InEffect returns the settings in effect. They must not be modified.
func (x *Live) InEffect() *Settings { return x.inEffect.Load() }

// OnChange calls apply with the settings in effect, and again after each change of them, one
// call at a time.
func (x *Live) OnChange(apply func(*Settings)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.listeners = append(x.listeners, apply)
	apply(x.InEffect())
}

// Reload reads the file again and applies the settings that change while the daemon runs. If
// the file cannot be read, is not complete or has an invalid value, all settings in effect
// stay, and the error says why.
func (x *Live) Reload() (Reloaded, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := x.last
	if x.path != "" {
		var err error
		if next, err = readSettled(x.path); err != nil {
			return Reloaded{}, err
		}
		if err := x.last.checkComplete(next); err != nil {
			return Reloaded{}, errors.Wrapf(err, "settings file %s is half written", x.path)
		}
	}
	_, effective, problems := x.loader.evaluate(next.file)
	if len(problems) > 0 {
		return Reloaded{}, problems
	}
	merged, result := x.merge(effective)
	if problems := merged.validate(); len(problems) > 0 {
		return Reloaded{}, problems
	}
	x.last = next
	if len(result.Applied) > 0 {
		for _, c := range result.Applied {
			x.values[c.Name()] = c.To
		}
		x.inEffect.Store(merged)
		for _, apply := range x.listeners {
			apply(merged)
		}
	}
	return result, nil
}

// merge returns the settings in effect with the new values of those settings that change while
// the daemon runs, and the changes. All values must be valid.
func (x *Live) merge(effective []Effective) (*Settings, Reloaded) {
	merged := *x.InEffect()
	var result Reloaded
	for _, e := range effective {
		c := Change{e.Setting, x.values[e.Name()], e.Value}
		switch {
		case c.From == c.To:
		case e.Reload == WhileRunning:
			_ = e.set(&merged, e.Value) // evaluate has set the same value before.
			result.Applied = append(result.Applied, c)
		default:
			result.AtStart = append(result.AtStart, c)
		}
	}
	return &merged, result
}

// readSettled reads a file twice, settleTime apart, and fails if it changed in between.
func readSettled(path string) (document, error) {
	before, err := os.ReadFile(path)
	if err != nil {
		return document{}, errors.Wrap(err, "read the settings")
	}
	time.Sleep(settleTime)
	after, err := os.ReadFile(path)
	if err != nil {
		return document{}, errors.Wrap(err, "read the settings again")
	}
	if !bytes.Equal(before, after) {
		return document{}, errors.Newf("settings file %s changed during the read", path)
	}
	return parseDocument(path, after)
}

// checkComplete fails if a document lacks keys of d or the end of its last line, as a file that
// was cut off does. Otherwise the missing keys would return to their defaults.
func (d document) checkComplete(next document) error {
	var missing []string
	for _, section := range d.file.Sections() {
		for _, k := range section.Keys() {
			if !next.file.HasSection(section.Name()) || !next.file.Section(section.Name()).HasKey(k.Name()) {
				missing = append(missing, section.Name()+"."+k.Name()+" = "+k.Value())
			}
		}
	}
	if len(missing) > 0 {
		return errors.Newf("missing since the last valid file: %s", strings.Join(missing, ", "))
	}
	if bytes.HasSuffix(d.content, []byte("\n")) && !bytes.HasSuffix(next.content, []byte("\n")) {
		return errors.New("its last line has no end")
	}
	return nil
}
