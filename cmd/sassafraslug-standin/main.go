// Command sassafraslug-standin serves stand-ins for the platform and for the endpoints that
// are ordered from it, to try the system on one machine.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugengine"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugenvironment"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
)

func main() {
	app := kingpin.New("sassafraslug-standin", "Serves stand-ins for the platform, engines and plain services.")
	app.UsageWriter(os.Stdout)
	listen := app.Flag("listen", "Address on which the platform listens.").Default("127.0.0.1:7000").String()
	models := app.Flag("model", "Model of an engine service, as SERVICE=MODEL; may be repeated.").StringMap()
	hosts := app.Flag("host", "Host in the host list, as NAME=DATACENTRE; may be repeated.").StringMap()
	lag := app.Flag("host-lag", "Delay after which the host list shows a change.").Default("2s").Duration()
	poison := app.Flag("poison", "Text that crashes an engine if a prompt contains it.").Default("crash-the-engine").String()
	unchecked := app.Flag("unchecked-every", "Make every n-th engine ignore fences.").Default("3").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	env, err := slugenvironment.New(slugenvironment.Config{
		Listen: *listen, Models: *models, UncheckedEvery: *unchecked,
		Engine:   slugengine.Config{PoisonMarker: *poison, ReportLag: time.Second},
		Platform: slugplatform.Config{HostListLag: *lag, OrderingRequestNumbers: true},
	})
	app.FatalIfError(err, "start")
	for name, dataCentre := range *hosts {
		env.Platform.SetHost(slugplatform.Host{Name: strings.TrimSpace(name), DataCentre: dataCentre, State: slugplatform.HostLive})
	}
	fmt.Println("platform on", env.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	app.FatalIfError(env.Close(), "stop")
}
