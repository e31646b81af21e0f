package slugdaemon

import (
	"os"
	"strings"
	"time"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
)

// reloadInterval is the time between reads of the settings file, which may change without
// a SIGHUP.
const reloadInterval = 5 * time.Second

// watchSettings reloads the settings on SIGHUP and every reloadInterval.
func watchSettings(live *slugsettings.Live, path string, log *slugevent.Log, hangup <-chan os.Signal) {
	ticks := time.NewTicker(reloadInterval)
	defer ticks.Stop()
	w := reloader{live: live, path: path, log: log}
	for {
		select {
		case <-hangup:
			w.reload(true)
		case <-ticks.C:
			w.reload(false)
		}
	}
}

// reloader reloads the settings and logs the results.
type reloader struct {
	live *slugsettings.Live
	path string
	log  *slugevent.Log
	// lastResult is the text of the last result. A result is logged again only if it was
	// asked for by a signal.
	lastResult string
}

// reload reloads the settings once.
func (w *reloader) reload(signalled bool) {
	result, err := w.live.Reload()
	fields := slugevent.Fields{"file": w.path, "signal": signalled}
	if err != nil {
		if text := err.Error(); signalled || text != w.lastResult {
			w.lastResult = text
			w.log.Error(slugevent.SettingsUnusable, err, fields)
		}
		return
	}
	fields["applied"], fields["atNextStart"] = changesText(result.Applied), changesText(result.AtStart)
	text := changesText(result.AtStart)
	if signalled || len(result.Applied) > 0 || text != w.lastResult {
		w.lastResult = text
		w.log.Emit(slugevent.SettingsReloaded, fields)
	}
}

// changesText returns changes as one text.
func changesText(changes []slugsettings.Change) string {
	list := make([]string, len(changes))
	for i, c := range changes {
		list[i] = c.String()
	}
	return strings.Join(list, ", ")
}
