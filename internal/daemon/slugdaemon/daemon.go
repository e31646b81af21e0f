// Package slugdaemon is the frame of a daemon's main function: flags, settings,
// log and signals.
//
// # Usage
//
//	func main() {
//		os.Exit(slugdaemon.Main("gate", slugsettings.Gate, "", os.Args[1:], run))
//	}
package slugdaemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sirupsen/logrus"
)

// flushTimeout bounds the writing of the last log lines.
const flushTimeout = 200 * time.Millisecond

// Run runs a daemon until ctx ends.
type Run func(ctx context.Context, s *slugsettings.Settings, log *slugevent.Log) error

// Exit statuses of daemons.
const (
	// ExitSuccess follows a graceful shutdown.
	ExitSuccess = 0
	// ExitFailure follows an error.
	ExitFailure = 1
	// ExitUsage follows wrong flags or settings.
	ExitUsage = 2
)

// Main runs a daemon and returns its exit status. The first SIGTERM or SIGINT
// begins a graceful shutdown, the second ends the process at once. file is where the
// settings are unless a flag says otherwise.
func Main(name string, d slugsettings.Daemon, file string, args []string, run Run) int {
	app := kingpin.New("sassafraslug-"+name, "The "+name+" daemon of sassafraslug.")
	path := app.Flag("settings", "INI file with the settings.").Short('s').PlaceHolder("FILE").Default(file).String()
	loader := slugsettings.New(d)
	loader.Flags(app)
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	s, err := loader.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	level, _ := logrus.ParseLevel(s.LogLevel)
	log, flush := slugevent.NewBounded(os.Stdout, level, string(s.Host)+"-"+name)
	defer flush(flushTimeout)
	go watchSettings(loader, *path, s, log)
	if err := run(signalContext(), s, log); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailure
	}
	return ExitSuccess
}

// reloadInterval is the time between looks at the settings: their file may change
// without a signal.
const reloadInterval = 5 * time.Second

// watchSettings reads the settings again at SIGHUP and now and then. What may change while the
// daemon runs is put into force; wrong settings leave the present ones there.
func watchSettings(l *slugsettings.Loader, path string, current *slugsettings.Settings, log *slugevent.Log) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticks := time.NewTicker(reloadInterval)
	defer ticks.Stop()
	applied := *current
	for {
		signalled := false
		select {
		case <-hangup:
			signalled = true
		case <-ticks.C:
		}
		next, err := l.Load(path)
		if err != nil {
			log.Error(slugevent.SettingsUnusable, err, slugevent.Fields{"file": path})
			continue
		}
		if !signalled && *next == applied {
			continue
		}
		applied = *next
		level, _ := logrus.ParseLevel(next.LogLevel)
		log.SetLevel(level)
		log.Emit(slugevent.SettingsReloaded, slugevent.Fields{"file": path, "signal": signalled, "inForce": "log level; other changes at the next start"})
	}
}

func signalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(ExitFailure)
	}()
	return ctx
}
