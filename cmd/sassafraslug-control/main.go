// Command sassafraslug-control is the control process of a host. It performs duties under
// leases and serves the operators' API.
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
	os.Exit(slugdaemon.Main("control", slugsettings.Control, "", os.Args[1:], func(ctx context.Context, live *slugsettings.Live, log *slugevent.Log) error {
		return slugcontrol.New(live.InEffect(), slugnetwork.New(), log).Run(ctx)
	}))
}
