// Command sassafraslug-host does all of a host's work on the cooperative's platform.
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
	os.Exit(slugdaemon.Main("host", slugsettings.Host, slugadapter.SettingsFile(), os.Args[1:], func(ctx context.Context, s *slugsettings.Settings, log *slugevent.Log) error {
		return slughost.New(s, slugnetwork.New(), slugadapter.New(), log).Run(ctx)
	}))
}
