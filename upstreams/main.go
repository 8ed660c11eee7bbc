// Command upstreams is the fake of all upstream servers of a deployment for tests and experiments, each on its own loopback
// address, with run-time control of their faults.
package main

import (
	"flag"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"comfreyroute/upstreams/describer"
	"comfreyroute/upstreams/internal/server"
)

func main() {
	deployment := flag.String("deployment", "", "INI file that describes the deployment")
	control := flag.String("control", "", "address of the control interface, ip:port; none without it")
	table := flag.Bool("print-table", false, "print the operators' table of the deployment as JSON and exit")
	flag.Parse()
	log, err := zap.NewProduction()
	if err != nil {
		os.Exit(1)
	}
	d, err := describer.Read(*deployment)
	switch {
	case err != nil:
	case *table:
		err = printTable(os.Stdout, d)
	default:
		err = run(d, *control, log)
	}
	if err != nil {
		log.Error("upstreams: stopped", zap.Error(err))
		os.Exit(1)
	}
}

func run(d *describer.Deployment, control string, log *zap.Logger) error {
	f := server.NewFleet(d)
	if err := f.Listen(); err != nil {
		return err
	}
	defer f.Close()
	if control != "" {
		l, err := net.Listen("tcp", control)
		if err != nil {
			return err
		}
		h := &http.Server{Handler: f.Control(), ReadHeaderTimeout: 10 * time.Second}
		defer func() { _ = h.Close() }()
		go func() { _ = h.Serve(l) }()
	}
	log.Info("upstreams: ready", zap.String("deployment", d.Name), zap.Int("servers", len(d.Servers())), zap.String("control", control))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return nil
}
