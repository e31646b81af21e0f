// Command sassafraslug-gate stands between callers and endpoints on an entry host.
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
	os.Exit(slugdaemon.Main("gate", slugsettings.Gate, "", os.Args[1:], func(ctx context.Context, s *slugsettings.Settings, log *slugevent.Log) error {
		return sluggate.New(s, slugnetwork.New(), log).Run(ctx)
	}))
}
