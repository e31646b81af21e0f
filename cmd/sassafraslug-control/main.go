// Command sassafraslug-control does duties under leases and serves operators.
package main

import (
	"context"
	"os"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugcontrol"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugdaemon"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
)

func main() {
	os.Exit(slugdaemon.Main("control", slugsettings.Control, "", os.Args[1:], func(ctx context.Context, s *slugsettings.Settings, log *slugevent.Log) error {
		return slugcontrol.New(s, slugnetwork.New(), log).Run(ctx)
	}))
}
