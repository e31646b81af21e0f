// Package slugsettings reads the settings of the daemons: an INI file, overridden
// by the environment and by flags. All wrong values are reported at once.
//
// # Usage
//
//	l := slugsettings.New(slugsettings.Gate)
//	l.Flags(app)
//	... parse the command line ...
//	s, err := l.Load(path)
package slugsettings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugname"
	"gopkg.in/ini.v1"
)

// Settings are the effective settings of a daemon.
type Settings struct {
	Host            slugname.Host
	DataCentre      slugname.DataCentre
	Region          slugname.Region
	PlatformAddress string

	CallersListen      string
	CallersAdvertise   string
	CallersCertificate string
	CallersKey         string
	MaxBodyBytes       int64
	MemoryBytes        int64
	MaxHeaderBytes     int64
	MaxConnections     int64
	BodyTimeout        time.Duration
	WriteTimeout       time.Duration
	QueueLength        int64
	AnswerAge          time.Duration
	Progress           time.Duration

	OperatorsListen    string
	OperatorsAdvertise string
	OperatorsTokenFile string

	PeersListen    string
	PeersAdvertise string

	UsageWindow time.Duration
	LeaseTime   time.Duration
	LogLevel    string

	ReadyListen     string
	DirectoryListen string
	MetricsListen   string
	DutiesAddress   string
	Bounds
}

// Bounds are what the platform's operators hold the system to.
type Bounds struct {
	// Revoke is how long after a key was taken away a request with it may still run.
	Revoke time.Duration
	// ConfigApply is how long after its acceptance a configuration is in force.
	ConfigApply time.Duration
	// Drain is how long a leaving endpoint may still receive work.
	Drain time.Duration
	// Grace is how long a process has to end after it was told.
	Grace time.Duration
	// Stability is how long a disturbance is felt after its end.
	Stability time.Duration
	// RetryWindow, RetryRatio and RetryExtra bound the requests sent again.
	RetryWindow time.Duration
	RetryRatio  float64
	RetryExtra  float64
	// UsageLate is how long after its end a window's usage is due.
	UsageLate time.Duration
}

// Daemon is the set of settings that a program has.
type Daemon int

// The daemons.
const (
	Gate Daemon = 1 << iota
	Control
	// Host is the daemon that does a whole host's work on a shared platform.
	Host
	both = Gate | Control
	all  = both | Host
)

// Setting is one setting.
type Setting struct {
	Section string
	Key     string
	Default string
	// Allowed says what values are allowed.
	Allowed string
	// Purpose says what the setting does.
	Purpose string
	daemons Daemon
	set     func(*Settings, string) error
}

// Name returns the section and the key.
func (s Setting) Name() string { return s.Section + "." + s.Key }

// Variable returns the environment variable that overrides the setting.
func (s Setting) Variable() string {
	var b strings.Builder
	b.WriteString("SASSAFRASLUG_" + strings.ToUpper(s.Section) + "_")
	for _, r := range s.Key {
		if r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteString(strings.ToUpper(string(r)))
	}
	return b.String()
}

// Effective is a setting with its value and where it came from.
type Effective struct {
	Setting
	Value string
	// Origin is "default", "file", "environment" or "flag".
	Origin string
}

// Loader reads the settings of one daemon.
type Loader struct {
	daemon Daemon
	flags  map[string]*flag
	// Environment looks up a variable.
	Environment func(string) (string, bool)
	effective   []Effective
}

type flag struct {
	value string
	given bool
}

// New returns a Loader.
func New(d Daemon) *Loader {
	return &Loader{daemon: d, flags: map[string]*flag{}, Environment: os.LookupEnv}
}

// flagger is a program or a command that takes flags.
type flagger interface {
	Flag(name, help string) *kingpin.FlagClause
}

// Flags adds a flag for each setting.
func (l *Loader) Flags(app flagger) {
	for _, s := range l.settings() {
		f := &flag{}
		l.flags[s.Name()] = f
		app.Flag(s.Name(), s.Purpose+" ($"+s.Variable()+").").PlaceHolder(s.Allowed).IsSetByUser(&f.given).StringVar(&f.value)
	}
}

func (l *Loader) settings() []Setting {
	var out []Setting
	for _, s := range All() {
		if s.daemons&l.daemon != 0 {
			out = append(out, s)
		}
	}
	return out
}

// Problem is a wrong value.
type Problem struct {
	Section string
	Key     string
	Value   string
	Reason  string
}

// Problems are all wrong values.
type Problems []Problem

// Error returns one line a problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = fmt.Sprintf("section [%s], key %s: %q: %s", x.Section, x.Key, x.Value, x.Reason)
	}
	return strings.Join(lines, "\n")
}

// Load reads the file, unless path is empty, and applies the overrides. It
// returns Problems when values are wrong.
func (l *Loader) Load(path string) (*Settings, error) {
	file := ini.Empty()
	if path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, Problems{{"", "--settings", path, err.Error()}}
		}
		if file, err = Parse(b); err != nil {
			return nil, Problems{{"", "--settings", path, err.Error()}}
		}
	}
	return l.apply(file)
}

// Parse reads an INI document.
func Parse(b []byte) (*ini.File, error) {
	return ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, SkipUnrecognizableLines: false}, b)
}

func (l *Loader) apply(file *ini.File) (*Settings, error) {
	problems := unknownKeys(file)
	s := &Settings{}
	l.effective = nil
	for _, x := range l.settings() {
		e := l.value(x, file)
		l.effective = append(l.effective, e)
		if err := x.set(s, e.Value); err != nil {
			problems = append(problems, Problem{x.Section, x.Key, e.Value, x.Allowed + " (from " + e.Origin + ")"})
		}
	}
	problems = append(problems, s.check()...)
	if len(problems) > 0 {
		return nil, problems
	}
	s.fill()
	return s, nil
}

// value returns the value of a setting: flag, environment, file or default.
func (l *Loader) value(x Setting, file *ini.File) Effective {
	if f := l.flags[x.Name()]; f != nil && f.given {
		return Effective{x, f.value, "flag"}
	}
	if v, ok := l.Environment(x.Variable()); ok {
		return Effective{x, v, "environment"}
	}
	if file.HasSection(x.Section) && file.Section(x.Section).HasKey(x.Key) {
		return Effective{x, file.Section(x.Section).Key(x.Key).String(), "file"}
	}
	return Effective{x, x.Default, "default"}
}

// unknownKeys returns a problem for every section and key that no daemon has.
func unknownKeys(file *ini.File) Problems {
	known := map[string]bool{}
	for _, s := range All() {
		known[s.Name()] = true
	}
	var problems Problems
	for _, section := range file.Sections() {
		for _, k := range section.Keys() {
			if !known[section.Name()+"."+k.Name()] {
				problems = append(problems, Problem{section.Name(), k.Name(), k.Value(), "unknown key"})
			}
		}
	}
	return problems
}

// check returns problems between settings.
func (s *Settings) check() Problems {
	var p Problems
	if (s.CallersCertificate == "") != (s.CallersKey == "") {
		p = append(p, Problem{"callers", "tlsCertificate", s.CallersCertificate, "tlsCertificate and tlsKey go together"})
	}
	if s.OperatorsTokenFile == "" && s.OperatorsListen != "" && !loopback(s.OperatorsListen) {
		p = append(p, Problem{"operators", "tokenFile", "", "needed unless operators.listen is a loopback address"})
	}
	if s.MemoryBytes > 0 && s.MaxBodyBytes > s.MemoryBytes {
		p = append(p, Problem{"callers", "maxBodyBytes", fmt.Sprint(s.MaxBodyBytes), "at most callers.memoryBytes"})
	}
	return p
}

// fill sets what defaults to another setting.
func (s *Settings) fill() {
	if s.CallersAdvertise == "" {
		s.CallersAdvertise = s.CallersListen
	}
	if s.OperatorsAdvertise == "" {
		s.OperatorsAdvertise = s.OperatorsListen
	}
	if s.PeersAdvertise == "" {
		s.PeersAdvertise = s.PeersListen
	}
}

// Effective returns the settings of the last Load with their origins.
func (l *Loader) Effective() []Effective { return l.effective }

// Defaults returns settings with every default and no names.
func Defaults() *Settings {
	s := &Settings{}
	for _, x := range All() {
		_ = x.set(s, x.Default)
	}
	s.fill()
	return s
}
