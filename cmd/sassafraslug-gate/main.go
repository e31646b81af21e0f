// Command sassafraslug-gate is the gateway on a host. It admits the requests of callers and
// relays them to endpoints.
package main

import (
	"context"
	"os"

	"github.com/sassafraslug/sassafraslug/internal/base/slugevent"
	"github.com/sassafraslug/sassafraslug/internal/base/slugsettings"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugdaemon"
	"github.com/sassafraslug/sassafraslug/internal/daemon/sluggate"
	"github.com/sassafraslug/sassafraslug/internal/daemon/slugnetwork"
)

func main() {
	os.Exit(slugdaemon.Main("gate", slugsettings.Gate, "", os.Args[1:], func(ctx context.Context, live *slugsettings.Live, log *slugevent.Log) error {
		return sluggate.New(live.InEffect(), slugnetwork.New(), log).Run(ctx)
	}))
}
