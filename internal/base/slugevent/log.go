// Package slugevent writes numbered log events.
//
// Every event has a number whose meaning never changes. docs/EVENTS.md lists all events;
// a test keeps it in sync with this package.
//
// # Usage
//
//	log := slugevent.New(os.Stderr, logrus.InfoLevel, "gate")
//	log.Emit(slugevent.StepDone, slugevent.Fields{"step": "listen"})
package slugevent

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Fields are the named values that are logged with an event.
type Fields = logrus.Fields

// Log writes the events of one process.
type Log struct {
	entry *logrus.Entry
	// limits holds the rate limit of each event; nil means no limit.
	limits *rateLimits
}

// New returns a Log that writes JSON lines to w. The process name is included in every
// line.
func New(w io.Writer, level logrus.Level, process string) *Log {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return &Log{entry: l.WithField("process", process)}
}

// SetLevel sets the lowest severity that is logged.
func (l *Log) SetLevel(level logrus.Level) { l.entry.Logger.SetLevel(level) }

// Discard returns a Log that writes nothing.
func Discard() *Log { return New(io.Discard, logrus.PanicLevel, "") }

// Emit logs an event with its fields.
func (l *Log) Emit(e Event, f Fields) {
	d := e.Describe()
	if !l.entry.Logger.IsLevelEnabled(d.Level) || !l.limits.allow(e) {
		return
	}
	l.entry.WithField("event", int(e)).WithFields(f).Log(d.Level, d.Message)
}

// Error logs an event with an error and its fields.
func (l *Log) Error(e Event, err error, f Fields) {
	d := e.Describe()
	if !l.entry.Logger.IsLevelEnabled(d.Level) || !l.limits.allow(e) {
		return
	}
	l.entry.WithField("event", int(e)).WithFields(f).WithError(err).Log(d.Level, d.Message)
}
