// Command aspenswitch-standin runs one small fake: a platform, an engine or a
// plain service.
package main

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/aspenswitch/aspenswitch/obs"
	"github.com/aspenswitch/aspenswitch/standin"
	"github.com/aspenswitch/aspenswitch/version"
)

func main() {
	app := kingpin.New("aspenswitch-standin", "Small fakes of what aspenswitch meets.")
	app.Version(version.String())
	listen := app.Flag("listen", "IP address and port.").Default("127.0.0.1:0").String()
	platform := app.Command("platform", "A configuration service that can be read and watched.")
	bundle := platform.Flag("bundle", "File with the signed bundle to publish.").String()
	vms := platform.Flag("vms", "File with the list of VMs.").String()
	engine := app.Command("engine", "A model engine.")
	cfg := standin.EngineConfig{}
	engine.Flag("slots", "Requests served at once.").Default("8").IntVar(&cfg.Slots)
	engine.Flag("first-token", "Time to the first token.").Default("20ms").DurationVar(&cfg.TimeToFirstToken)
	engine.Flag("per-token", "Time for each token.").Default("5ms").DurationVar(&cfg.TimePerToken)
	engine.Flag("cached-prompts", "Prompt starts in the prefix cache.").Default("32").IntVar(&cfg.CachedPrefixes)
	engine.Flag("report-lag", "Age of load reports.").Default("200ms").DurationVar(&cfg.ReportLag)
	engine.Flag("break-after", "Cut each stream after so many events; 0 never.").IntVar(&cfg.DisconnectAfterEvents)
	service := app.Command("service", "A plain service that counts its runs by key.")
	takes := service.Flag("takes", "How long a run takes.").Default("10ms").Duration()
	var handler http.Handler
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case platform.FullCommand():
		p := standin.NewPlatform()
		app.FatalIfError(publish(*bundle, p.Publish), "bundle")
		app.FatalIfError(publish(*vms, p.SetVMs), "vms")
		handler = p.Handler()
	case engine.FullCommand():
		handler = standin.NewEngine(cfg).Handler()
	case service.FullCommand():
		handler = standin.NewService(*takes).Handler()
	}
	app.FatalIfError(serve(*listen, handler), "")
}

// publish hands a file's content to the platform, if a file is named.
func publish(file string, to func([]byte)) error {
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	to(raw)
	return nil
}

func serve(listen string, handler http.Handler) error {
	log := obs.NewLog(os.Stderr, "info", "standin")
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	log.Info().Str("listen", l.Addr().String()).Msg("serving")
	go func() { _ = http.Serve(l, handler) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return nil
}
