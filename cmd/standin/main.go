package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"kingcupcross/conf"
	"kingcupcross/emul"
	"kingcupcross/spread"
	"kingcupcross/store"
	"kingcupcross/timer"
	"kingcupcross/units"
)

type root struct {
	Platform platformCmd `cmd:"" help:"Run the platform's store and list of hosts."`
	Target   targetCmd   `cmd:"" help:"Run one target."`
	Layout   layoutCmd   `cmd:"" help:"Write the settings files of a set of processes on loopback."`
	Trial    trialCmd    `cmd:"" help:"Compare query policies under one load and one fault each, in this process."`
}

func main() {
	var r root
	ctx := kong.Parse(&r, kong.Name("standin"), kong.Description("Stand-ins for the platform and for targets."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// load reads a settings file as the product reads its own: with comments, and with the line of each finding.
func load(name string, into any) error {
	f, err := conf.Read(name)
	if err != nil {
		return err
	}
	return f.Decode(into)
}

func listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	return l, eris.Wrapf(err, "listen at %s", a)
}

// serve answers on the listener until a signal or the loop's failure.
func serve(l net.Listener, h http.Handler, loop func(context.Context) error) error {
	server := &http.Server{Handler: h}
	var group run.Group
	group.Add(func() error { return server.Serve(l) }, func(error) { server.Close() })
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	group.Add(func() error { return loop(ctx) }, func(error) { cancel() })
	if err := group.Run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func untilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

type platformCmd struct {
	Settings string `required:"" type:"existingfile" help:"The platform's settings file."`
}

func (c *platformCmd) Run() error {
	var f emul.PlatformFile
	if err := load(c.Settings, &f); err != nil {
		return err
	}
	clock := timer.New()
	s := emul.NewStore(clock)
	for _, m := range f.Maps {
		value, err := json.Marshal(m)
		if err != nil {
			return eris.Wrap(err, "encode shard map")
		}
		s.Put(spread.Maps+m.Service, value)
	}
	hosts := emul.NewHostList(clock, f.Lag.D(), f.Hosts)
	mux := http.NewServeMux()
	mux.Handle("/", s.Handler())
	mux.Handle("GET "+store.PathHosts, hosts.Handler())
	l, err := listen(f.Address)
	if err != nil {
		return err
	}
	return serve(l, mux, hosts.Run)
}

type targetCmd struct {
	Settings string `required:"" type:"existingfile" help:"The target's settings file."`
}

func (c *targetCmd) Run() error {
	var f emul.TargetFile
	if err := load(c.Settings, &f); err != nil {
		return err
	}
	l, err := listen(f.Address)
	if err != nil {
		return err
	}
	clock := timer.New()
	t := emul.NewTarget(clock, f.TargetSettings)
	return serve(emul.NewListener(clock, l, f.Conns, f.Setup.D()), t.Handler(), untilDone)
}

type layoutCmd struct {
	Out     string         `required:"" help:"Folder for the files."`
	Preset  string         `help:"An organisation at today's sizes, saltlade or kormsu; it takes the place of places, targets, shards, service, slots and conns."`
	Places  []string       `default:"jylland/aarhus,fyn/odense,sjaelland/roskilde" help:"Data centres as region/name."`
	Hosts   int            `default:"3" help:"Hosts in each data centre."`
	Targets int            `default:"12" help:"Targets in all."`
	Shards  int            `default:"48" help:"Shards of the service."`
	Service string         `default:"dispatch" help:"The service."`
	Port    int            `default:"21000" help:"First port on loopback."`
	Slots   int            `default:"3" help:"Slots of each target."`
	Conns   int            `default:"100" help:"Connections of each target."`
	Median  units.Duration `default:"5ms" help:"Median time of a request at a target."`
}

func (c *layoutCmd) Run() error {
	l := emul.Layout{
		Hosts:   c.Hosts,
		Targets: c.Targets,
		Shards:  c.Shards,
		Service: c.Service,
		Port:    c.Port,
		Slots:   c.Slots,
		Conns:   c.Conns,
		Median:  c.Median,
	}
	if c.Preset != "" {
		if err := l.Preset(c.Preset); err != nil {
			return err
		}
		return l.Write(c.Out)
	}
	for _, p := range c.Places {
		place, err := emul.ParsePlace(p)
		if err != nil {
			return err
		}
		l.Places = append(l.Places, place)
	}
	return l.Write(c.Out)
}
