// Command aspenswitch-standin runs a fake platform, model engine or plain service for
// tests and demos.
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
	app := kingpin.New("aspenswitch-standin", "Fake platform, engine and service for tests and demos.")
	app.Version(version.String())
	listen := app.Flag("listen", "IP address and port.").Default("127.0.0.1:0").String()
	platform := app.Command("platform", "Run a configuration service that can be read and watched.")
	bundle := platform.Flag("bundle", "File with the signed bundle to publish.").String()
	vms := platform.Flag("vms", "File with the list of VMs.").String()
	engine := app.Command("engine", "Run a model engine.")
	cfg := standin.EngineConfig{}
	engine.Flag("slots", "Concurrent requests.").Default("8").IntVar(&cfg.Slots)
	engine.Flag("first-token", "Time to the first token.").Default("20ms").DurationVar(&cfg.TimeToFirstToken)
	engine.Flag("per-token", "Time per token.").Default("5ms").DurationVar(&cfg.TimePerToken)
	engine.Flag("cached-prompts", "Capacity of the prefix cache in prompt prefixes.").Default("32").IntVar(&cfg.CachedPrefixes)
	engine.Flag("report-lag", "Age of load reports.").Default("200ms").DurationVar(&cfg.ReportLag)
	engine.Flag("break-after", "Close the connection of each stream after this number of events; 0 disables it.").IntVar(&cfg.DisconnectAfterEvents)
	service := app.Command("service", "Run a plain service that counts its runs by key.")
	runDuration := service.Flag("takes", "Duration of a run.").Default("10ms").Duration()
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
		handler = standin.NewService(*runDuration).Handler()
	}
	app.FatalIfError(serve(*listen, handler), "")
}

// publish passes the content of a file to set. It does nothing if file is empty.
func publish(file string, set func([]byte)) error {
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	set(raw)
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
