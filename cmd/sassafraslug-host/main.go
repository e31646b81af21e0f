// Command sassafraslug-host runs all of a host's work in one process on the platform that
// package slugadapter adapts to.
package main

import (
	"context"
	"os"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugdaemon"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slughost"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
	"github.com/sassafraslug/sassafraslug/platform/slugadapter"
)

func main() {
	os.Exit(slugdaemon.Main("host", slugsettings.Host, slugadapter.SettingsFile(), os.Args[1:], func(ctx context.Context, live *slugsettings.Live, log *slugevent.Log) error {
		h := slughost.New(live.InEffect(), slugnetwork.New(), slugadapter.New(), log)
		live.OnChange(h.ApplySettings)
		return h.Run(ctx)
	}))
}
