// Command keystore is a fake of the platform for tests and experiments: it serves the key-value service and the lagging VM list
// over HTTP and JSON, and injects faults that are controlled at run time.
package main

import (
	"flag"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"comfreyroute/keystore/internal/server"
)

func main() {
	address := flag.String("address", "127.0.0.1:7400", "address of the service, ip:port")
	control := flag.String("control", "", "additional address of the control interface, ip:port, which stays reachable during an outage; the service address serves it too")
	reads := flag.Float64("reads", 0, "limit of reads per second; 0 means no limit")
	writes := flag.Float64("writes", 0, "limit of writes per second; 0 means no limit")
	flag.Parse()
	log, err := zap.NewProduction()
	if err != nil {
		os.Exit(1)
	}
	if err := run(*address, *control, server.Command{Reads: reads, Writes: writes}, log); err != nil {
		log.Error("keystore: stopped", zap.Error(err))
		os.Exit(1)
	}
}

func run(address, control string, limits server.Command, log *zap.Logger) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	var s server.Server
	s.ApplyCommand(limits)
	if err := s.Listen(a); err != nil {
		return err
	}
	defer s.Close()
	if control != "" {
		l, err := net.Listen("tcp", control)
		if err != nil {
			return err
		}
		controlServer := &http.Server{Handler: s.ControlHandler(), ReadHeaderTimeout: 10 * time.Second}
		defer func() { _ = controlServer.Close() }()
		go func() { _ = controlServer.Serve(l) }()
	}
	log.Info("keystore: ready", zap.Stringer("address", s.Address()), zap.String("control", control))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return nil
}
