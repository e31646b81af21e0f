// Package slugsettings loads the settings of the daemons from an INI file. Environment
// variables override the file, and flags override both. All invalid values are reported at
// once.
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

// Settings are the effective settings of a daemon. All describes each of them; a daemon
// sets only the fields of the settings that it uses.
type Settings struct {
	Host            slugname.Host
	DataCentre      slugname.DataCentre
	Region          slugname.Region
	Cores           float64
	LinkMbps        float64
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
	// FirstStart reports that the whole system starts for the first time.
	FirstStart bool
	LogLevel   string

	ReadyListen     string
	DirectoryListen string
	MetricsListen   string
	DutiesAddress   string
	// ExtraShare is the largest ratio of extra attempts to requests; 0 means none.
	ExtraShare float64
	Bounds
	Limits
}

// Limits bound what callers take of a host. Zero means a default that the host derives from its
// machine.
type Limits struct {
	// MemoryMegabytes is the memory of the machine in units of 1,000,000 bytes.
	MemoryMegabytes float64
	// Descriptors is the number of file descriptors that the process may open.
	Descriptors int64
	// HeadMemory is the memory for the heads of requests on all connections, in bytes.
	HeadMemory int64
	// Connections, HTTP2Connections and Requests bound those of callers at the same time, and
	// Streams the requests on one HTTP/2 connection.
	Connections, HTTP2Connections, Requests, Streams int64
	// BodyStall is how long a request's body may take beyond the time for its bytes at
	// BodyRate, in bytes per second.
	BodyStall time.Duration
	BodyRate  int64
	// WriteStall is how long a caller may take no byte of a response.
	WriteStall time.Duration
}

// Bounds are the limits that the platform's operators require the system to keep.
type Bounds struct {
	// Revoke is how long after the revocation of a key its requests may still run.
	Revoke time.Duration
	// ConfigApply is how long after its acceptance a configuration must be in effect.
	ConfigApply time.Duration
	// Drain is how long an endpoint that is being removed may still receive requests.
	Drain time.Duration
	// Grace is how long a process has to shut down after it was asked to.
	Grace time.Duration
	// Stability is how long the effects of a disturbance may last after its end.
	Stability time.Duration
	// RetryWindow, RetryRatio and RetryExtra limit retries: RetryRatio per request, plus
	// RetryExtra in each RetryWindow for all processes together.
	RetryWindow time.Duration
	RetryRatio  float64
	RetryExtra  float64
	// UsageLate is how long after the end of a window its usage must be reported.
	UsageLate time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack limit what the requests of a workspace with a
	// quota use in any QuotaWindow, summed over all hosts: (rate x QuotaWindow + burst) x
	// (1 + QuotaOverage) + QuotaSlack, in the unit of the quota.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
}

// Daemon is a set of daemons, as a bit mask.
type Daemon int

// The daemons.
const (
	// Gate is the daemon that relays requests from callers to endpoints.
	Gate Daemon = 1 << iota
	// Control is the daemon that runs the duties and serves the operator API.
	Control
	// Host is the daemon that does all work of a host on a shared platform: it serves
	// callers and competes for the duties.
	Host
	gateAndControl = Gate | Control
	allDaemons     = gateAndControl | Host
)

// Setting describes one setting.
type Setting struct {
	Section string
	Key     string
	Default string
	// Allowed describes the allowed values.
	Allowed string
	// Purpose describes what the setting does.
	Purpose string
	daemons Daemon
	set     func(*Settings, string) error
	// Reload states when a changed value takes effect.
	Reload Reload
}

// Reload states when the changed value of a setting takes effect.
type Reload int

// The values of Reload. There is none for 0, so that every setting must state one.
const (
	// AtStart means at the next start of the daemon.
	AtStart Reload = 1 + iota
	// WhileRunning means when the daemon reloads its settings.
	WhileRunning
)

// String returns "at start" or "while running".
func (r Reload) String() string {
	switch r {
	case AtStart:
		return "at start"
	case WhileRunning:
		return "while running"
	}
	return "not stated"
}

// Name returns the name of the setting as section.key.
func (s Setting) Name() string { return s.Section + "." + s.Key }

// Variable returns the name of the environment variable that overrides the setting.
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

// Effective is a setting with its effective value and the origin of the value.
type Effective struct {
	Setting
	Value string
	// Origin is "default", "file", "environment" or "flag".
	Origin string
}

// Loader loads the settings of one daemon.
type Loader struct {
	daemon Daemon
	flags  map[string]*flag
	// Environment looks up an environment variable; New sets it to os.LookupEnv.
	Environment func(string) (string, bool)
	effective   []Effective
}

type flag struct {
	value string
	given bool
}

// New returns a Loader for the settings of d.
func New(d Daemon) *Loader {
	return &Loader{daemon: d, flags: map[string]*flag{}, Environment: os.LookupEnv}
}

// flagAdder is a kingpin application or command.
type flagAdder interface {
	Flag(name, help string) *kingpin.FlagClause
}

// Flags adds a flag for each setting of the daemon to app.
func (l *Loader) Flags(app flagAdder) {
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

// Problem is an invalid value, an unknown key or an unreadable file.
type Problem struct {
	Section string
	Key     string
	Value   string
	Reason  string
}

// Problems are all problems found by one Load.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = fmt.Sprintf("section [%s], key %s: %q: %s", x.Section, x.Key, x.Value, x.Reason)
	}
	return strings.Join(lines, "\n")
}

// Load reads the file at path, unless path is empty, and applies the environment and the
// flags. It returns Problems if the file cannot be read or values are invalid.
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

// Parse parses an INI document.
func Parse(b []byte) (*ini.File, error) {
	return ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, SkipUnrecognizableLines: false}, b)
}

func (l *Loader) apply(file *ini.File) (*Settings, error) {
	s, effective, problems := l.evaluate(file)
	l.effective = effective
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// evaluate returns the settings that follow from a file, the environment and the flags, with
// the origin of each value and all problems.
func (l *Loader) evaluate(file *ini.File) (*Settings, []Effective, Problems) {
	problems := unknownKeys(file)
	s := &Settings{}
	var effective []Effective
	for _, x := range l.settings() {
		e := l.lookup(x, file)
		effective = append(effective, e)
		if err := x.set(s, e.Value); err != nil {
			problems = append(problems, Problem{x.Section, x.Key, e.Value, x.Allowed + " expected (from " + e.Origin + ")"})
		}
	}
	problems = append(problems, s.validate()...)
	s.applyFallbacks()
	return s, effective, problems
}

// lookup returns the value of a setting from the first of flag, environment, file and
// default that has one.
func (l *Loader) lookup(x Setting, file *ini.File) Effective {
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

// unknownKeys returns a problem for every key in the file that is not a setting of any
// daemon.
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

// validate returns the problems that involve more than one setting.
func (s *Settings) validate() Problems {
	var p Problems
	if (s.CallersCertificate == "") != (s.CallersKey == "") {
		p = append(p, Problem{"callers", "tlsCertificate", s.CallersCertificate, "tlsCertificate and tlsKey must be set together"})
	}
	if s.OperatorsTokenFile == "" && s.OperatorsListen != "" && !isLoopback(s.OperatorsListen) {
		p = append(p, Problem{"operators", "tokenFile", "", "required unless operators.listen is a loopback address"})
	}
	if s.MemoryBytes > 0 && s.MaxBodyBytes > s.MemoryBytes {
		p = append(p, Problem{"callers", "maxBodyBytes", fmt.Sprint(s.MaxBodyBytes), "must not exceed callers.memoryBytes"})
	}
	return p
}

// applyFallbacks sets empty settings that default to the value of another setting.
func (s *Settings) applyFallbacks() {
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

// Effective returns the settings of the last Load with their values and origins.
func (l *Loader) Effective() []Effective { return l.effective }

// Defaults returns the default settings of all daemons. The names of the host, data centre
// and region are empty.
func Defaults() *Settings {
	s := &Settings{}
	for _, x := range All() {
		_ = x.set(s, x.Default)
	}
	s.applyFallbacks()
	return s
}
