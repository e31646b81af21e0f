package slugchat

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog cancels a connection on which nothing has come for a time.
type watchdog struct {
	limit  time.Duration
	cancel context.CancelFunc
	lastNs atomic.Int64
	timer  *time.Timer
	silent atomic.Bool
}

func newWatchdog(limit time.Duration, cancel context.CancelFunc) *watchdog {
	d := &watchdog{limit: limit, cancel: cancel}
	d.progress()
	d.timer = time.AfterFunc(limit, d.check)
	return d
}

// progress records that something came.
func (d *watchdog) progress() { d.lastNs.Store(time.Now().UnixNano()) }

func (d *watchdog) check() {
	idle := time.Since(time.Unix(0, d.lastNs.Load()))
	if idle >= d.limit {
		d.silent.Store(true)
		d.cancel()
		return
	}
	d.timer.Reset(d.limit - idle)
}

// stop ends the watch and the connection.
func (d *watchdog) stop() {
	d.timer.Stop()
	d.cancel()
}

// fired reports whether the connection went silent.
func (d *watchdog) fired() bool { return d.silent.Load() }
