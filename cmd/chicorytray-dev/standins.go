package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/internal/upstreamstub"
)

// storeCommand serves the store stand-in.
type storeCommand struct{ listen, document string }

func (*storeCommand) Name() string     { return "store" }
func (*storeCommand) Synopsis() string { return "run the stand-in of the platform's store" }
func (*storeCommand) Usage() string    { return "chicorytray-dev store [flags]\n" }

// SetFlags implements subcommands.Command.
func (c *storeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "IP:port")
	f.StringVar(&c.document, "config", "", "file with the first configuration; empty: none")
}

// Execute implements subcommands.Command.
func (c *storeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return reportUsageError(f, nil)
	}
	stub := storestub.New()
	if c.document != "" {
		data, err := os.ReadFile(c.document)
		if err != nil {
			return reportFailure(err)
		}
		doc, err := config.Parse(data)
		if err != nil {
			return reportFailure(fmt.Errorf("%s: %w", c.document, err))
		}
		if data, err = doc.Encode(); err != nil {
			return reportFailure(err)
		}
		stub.Put(config.Key, data)
	}
	return serveHTTP(ctx, "store stand-in", c.listen, stub.Handler())
}

// upstreamCommand serves an upstream stand-in.
type upstreamCommand struct {
	listen, name, dataCentre string
	slots                    int
	service                  time.Duration
}

func (*upstreamCommand) Name() string     { return "upstream" }
func (*upstreamCommand) Synopsis() string { return "run a stand-in upstream" }
func (*upstreamCommand) Usage() string {
	return "chicorytray-dev upstream [flags]\nGET " + upstreamstub.StartsPath + " lists the starts, POST " +
		upstreamstub.FaultsPath + " sets faults, for example {\"slow\":5} or {\"leave\":true}.\n"
}

// SetFlags implements subcommands.Command.
func (c *upstreamCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7300", "IP:port")
	f.StringVar(&c.name, "name", "upstream", "name in the record of starts")
	f.StringVar(&c.dataCentre, "data-centre", "", "data centre in the record of starts")
	f.IntVar(&c.slots, "slots", 8, "tasks served at a time")
	f.DurationVar(&c.service, "service", 100*time.Millisecond, "service time of tasks that specify none")
}

// Execute implements subcommands.Command.
func (c *upstreamCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return reportUsageError(f, nil)
	}
	if c.slots < 1 || c.service <= 0 {
		return reportUsageError(f, fmt.Errorf("slots %d, service %s; accepted: slots of 1 or more, service of more than 0s", c.slots, c.service))
	}
	stub := upstreamstub.New(upstreamstub.Options{
		Name: c.name, DataCentre: c.dataCentre, Slots: c.slots, Service: c.service,
	})
	return serveHTTP(ctx, "upstream stand-in", c.listen, stub)
}

// serveHTTP serves until ctx ends, which a signal causes.
func serveHTTP(ctx context.Context, what, address string, h http.Handler) subcommands.ExitStatus {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return reportFailure(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	fmt.Printf("%s listens on %s\n", what, l.Addr())
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}
