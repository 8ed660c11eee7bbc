// Command upstreams runs fakes of all upstream servers of a deployment for tests and experiments, each on its own loopback
// address, and injects faults that are controlled at run time.
package main

import (
	"context"
	"flag"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"comfreyroute/core/transport/kvclient"
	"comfreyroute/upstreams/describer"
	"comfreyroute/upstreams/internal/server"
	"comfreyroute/upstreams/publisher"
)

func main() {
	deployment := flag.String("deployment", "", "path of the deployment's INI file")
	control := flag.String("control", "", "address of the control interface, ip:port; not served if empty")
	printOnly := flag.Bool("print-table", false, "print the operators' table of the deployment as JSON and exit")
	publish := flag.String("publish", "", "write the operators' table to the platform at this address, ip:port")
	list := flag.String("list", "", "add the servers to the VM list of the fake platform with this control address, ip:port")
	flag.Parse()
	log, err := zap.NewProduction()
	if err != nil {
		os.Exit(1)
	}
	d, err := describer.ReadFile(*deployment)
	switch {
	case err != nil:
	case *printOnly:
		err = printTable(os.Stdout, d)
	default:
		if err = publishAll(d, *publish, *list); err == nil {
			err = run(d, *control, log)
		}
	}
	if err != nil {
		log.Error("upstreams: stopped", zap.Error(err))
		os.Exit(1)
	}
}

// publishAll writes the table to the platform and adds the servers to the VM list through the control address. It skips a step
// whose address is empty.
func publishAll(d *describer.Deployment, platform, control string) error {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	if platform != "" {
		a, err := netip.ParseAddrPort(platform)
		if err != nil {
			return eris.Wrap(err, "flag -publish")
		}
		if err := publisher.WriteTable(ctx, &kvclient.Client{Address: a}, d); err != nil {
			return err
		}
	}
	if control == "" {
		return nil
	}
	a, err := netip.ParseAddrPort(control)
	if err != nil {
		return eris.Wrap(err, "flag -list")
	}
	return publisher.AddVMs(ctx, a, d.ListedVMs())
}

const publishTimeout = 10 * time.Second

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
		controlServer := &http.Server{Handler: f.ControlHandler(), ReadHeaderTimeout: 10 * time.Second}
		defer func() { _ = controlServer.Close() }()
		go func() { _ = controlServer.Serve(l) }()
	}
	log.Info("upstreams: ready", zap.String("deployment", d.Name), zap.Int("servers", len(d.Servers())), zap.String("control", control))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return nil
}
