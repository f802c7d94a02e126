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

// root declares all commands of the program.
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

// decodeSettings reads a settings file with the decoder of the hosts' settings, which accepts comments and reports the line of each finding.
func decodeSettings(name string, into any) error {
	f, err := conf.Read(name)
	if err != nil {
		return err
	}
	return f.Decode(into)
}

// listen listens on a TCP address.
func listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	return l, eris.Wrapf(err, "listen on %s", a)
}

// serve serves HTTP on the listener and runs loop beside it, until SIGTERM, SIGINT or the end of either.
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

// waitDone is a loop for serve that does nothing but wait until the context ends.
func waitDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// platformCmd runs the emulated platform: its store and its list of hosts.
type platformCmd struct {
	Settings string `required:"" type:"existingfile" help:"The platform's settings file."`
}

// Run stores the shard maps of the settings file and serves the platform.
func (c *platformCmd) Run() error {
	var f emul.PlatformFile
	if err := decodeSettings(c.Settings, &f); err != nil {
		return err
	}
	clock := timer.New()
	s := emul.NewStore(clock)
	for _, m := range f.Maps {
		value, err := json.Marshal(m)
		if err != nil {
			return eris.Wrap(err, "encode shard map")
		}
		s.Put(spread.MapsPrefix+m.Service, value)
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

// targetCmd runs one emulated target.
type targetCmd struct {
	Settings string `required:"" type:"existingfile" help:"The target's settings file."`
}

// Run serves the target with the connection limit and the connection setup time of its settings file.
func (c *targetCmd) Run() error {
	var f emul.TargetFile
	if err := decodeSettings(c.Settings, &f); err != nil {
		return err
	}
	l, err := listen(f.Address)
	if err != nil {
		return err
	}
	clock := timer.New()
	t := emul.NewTarget(clock, f.TargetSettings)
	return serve(emul.NewListener(clock, l, f.Conns, f.Setup.D()), t.Handler(), waitDone)
}

// layoutCmd writes the settings files of a platform, hosts and targets on loopback.
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

// Run writes the files for the preset or for the sizes given by flags.
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
		if err := l.ApplyPreset(c.Preset); err != nil {
			return err
		}
		return l.WriteSettings(c.Out)
	}
	for _, p := range c.Places {
		place, err := emul.ParsePlace(p)
		if err != nil {
			return err
		}
		l.Places = append(l.Places, place)
	}
	return l.WriteSettings(c.Out)
}
