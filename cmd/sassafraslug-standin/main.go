// Command sassafraslug-standin serves small stand-ins of the platform and of the
// endpoints that are ordered from it, for trials on one machine.
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
	"github.com/sassafraslug/sassafraslug/internal/standin/slugplatform"
	"github.com/sassafraslug/sassafraslug/internal/standin/slugstand"
)

func main() {
	app := kingpin.New("sassafraslug-standin", "Stand-ins of the platform, engines and plain services.")
	listen := app.Flag("listen", "Address of the platform.").Default("127.0.0.1:7000").String()
	models := app.Flag("model", "Model of an engine service, as SERVICE=MODEL.").StringMap()
	hosts := app.Flag("host", "Host of the host list, as NAME=DATACENTRE.").StringMap()
	lag := app.Flag("host-lag", "Lag of the host list.").Default("2s").Duration()
	poison := app.Flag("poison", "Text in a prompt that crashes an engine.").Default("crash-the-engine").String()
	unchecked := app.Flag("unchecked-every", "Every n-th engine ignores fences.").Default("3").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s, err := slugstand.New(slugstand.Config{
		Listen: *listen, Models: *models, UncheckedEvery: *unchecked,
		Engine:   slugengine.Config{PoisonMarker: *poison, ReportLag: time.Second},
		Platform: slugplatform.Config{HostListLag: *lag, OrderingRequestNumbers: true},
	})
	app.FatalIfError(err, "start")
	for name, dataCentre := range *hosts {
		s.Platform.SetHost(slugplatform.Host{Name: strings.TrimSpace(name), DataCentre: dataCentre, State: slugplatform.HostLive})
	}
	fmt.Println("platform on", s.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	app.FatalIfError(s.Close(), "stop")
}
