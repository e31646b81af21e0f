// Package slugevent writes numbered log events.
//
// Every event has a number that never changes its meaning. docs/EVENTS.md is
// the catalogue, and a test holds it to this package.
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

// Fields are the values that belong to an event.
type Fields = logrus.Fields

// Log writes events of one process.
type Log struct {
	entry *logrus.Entry
	// bound limits the lines; nil does not.
	bound *bound
}

// New returns a Log that writes JSON lines to w. The process name goes into
// every line.
func New(w io.Writer, level logrus.Level, process string) *Log {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return &Log{entry: l.WithField("process", process)}
}

// SetLevel sets the least severity of lines.
func (l *Log) SetLevel(level logrus.Level) { l.entry.Logger.SetLevel(level) }

// Discard returns a Log that writes nothing.
func Discard() *Log { return New(io.Discard, logrus.PanicLevel, "") }

// Emit writes one event with its fields.
func (l *Log) Emit(e Event, f Fields) {
	d := e.Describe()
	if !l.entry.Logger.IsLevelEnabled(d.Level) || !l.bound.allow(e) {
		return
	}
	l.entry.WithField("event", int(e)).WithFields(f).Log(d.Level, d.Message)
}

// Error writes one event with an error.
func (l *Log) Error(e Event, err error, f Fields) {
	d := e.Describe()
	if !l.entry.Logger.IsLevelEnabled(d.Level) || !l.bound.allow(e) {
		return
	}
	l.entry.WithField("event", int(e)).WithFields(f).WithError(err).Log(d.Level, d.Message)
}
