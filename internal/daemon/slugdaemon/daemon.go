// Package slugdaemon implements what the main functions of all daemons share: flags,
// settings, logging and signal handling.
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
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sirupsen/logrus"
)

// flushTimeout limits how long the process waits to write buffered log lines at exit.
const flushTimeout = 200 * time.Millisecond

// Run runs a daemon until ctx is cancelled. A daemon that applies settings while it runs
// passes a function for this to Live.OnChange.
type Run func(ctx context.Context, live *slugsettings.Live, log *slugevent.Log) error

// Exit statuses of daemons.
const (
	// ExitSuccess is the status after a graceful shutdown.
	ExitSuccess = 0
	// ExitFailure is the status after an error or a forced exit.
	ExitFailure = 1
	// ExitUsage is the status after invalid flags or settings.
	ExitUsage = 2
)

// gcPercent is the growth of the heap, in percent, after which garbage is collected. The live
// heap of a daemon is a few megabytes, so that collections with the default of 100 take up to a
// fifth of its processor time.
const gcPercent = 200

// memoryShare is the part of a known memory of the machine beyond which garbage is collected as
// often as it takes. The rest is for the program itself, buffers of the kernel and what the
// runtime has not returned yet.
const memoryShare = 0.65

// Main runs a daemon and returns its exit status. The first SIGTERM or SIGINT starts a
// graceful shutdown, the second exits immediately. file is the default path of the
// settings file.
func Main(name string, d slugsettings.Daemon, file string, args []string, run Run) int {
	// A SIGHUP that nothing receives ends the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	app := kingpin.New("sassafraslug-"+name, "The sassafraslug "+name+" daemon.")
	helped := false
	app.UsageWriter(os.Stdout)
	app.Terminate(func(int) { helped = true })
	path := app.Flag("settings", "INI file with the settings.").Short('s').PlaceHolder("FILE").Default(file).String()
	loader := slugsettings.New(d)
	loader.Flags(app)
	_, err := app.Parse(args)
	if helped {
		return ExitSuccess
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	live, err := loader.LoadLive(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	debug.SetGCPercent(gcPercent)
	if n := live.InEffect().MemoryMegabytes; n > 0 {
		debug.SetMemoryLimit(int64(memoryShare * 1e6 * n))
	}
	log, flush := slugevent.NewBounded(os.Stdout, logrus.InfoLevel, string(live.InEffect().Host)+"-"+name)
	defer flush(flushTimeout)
	live.OnChange(func(s *slugsettings.Settings) {
		level, _ := logrus.ParseLevel(s.LogLevel)
		log.SetLevel(level)
	})
	go watchSettings(live, *path, log, hangup)
	if err := run(signalContext(), live, log); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailure
	}
	return ExitSuccess
}

// signalContext returns a context that the first SIGTERM or SIGINT cancels. A later SIGINT
// exits the process.
func signalContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		awaitInterrupt(signals, cancel)
		os.Exit(ExitFailure)
	}()
	return ctx
}

// awaitInterrupt calls shutDown at the first signal, and returns at a SIGINT after it. A
// repeated SIGTERM does not cut the requests that a graceful shutdown lets finish.
func awaitInterrupt(signals <-chan os.Signal, shutDown func()) {
	<-signals
	shutDown()
	for s := range signals {
		if s == syscall.SIGINT {
			return
		}
	}
}
