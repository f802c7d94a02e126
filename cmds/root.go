package cmds

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"kingcupcross/build"
	"kingcupcross/conf"
	"kingcupcross/front"
	"kingcupcross/host"
)

// Root declares all commands of the program.
type Root struct {
	Host     HostCmd     `cmd:"" help:"Run one entry host."`
	Front    FrontCmd    `cmd:"" help:"Run one host that serves callers of the users' platform."`
	Query    QueryCmd    `cmd:"" help:"Send a query to a host and print the labelled answer."`
	Tickets  TicketsCmd  `cmd:"" help:"Fetch tickets for orders."`
	Order    OrderCmd    `cmd:"" help:"Send an order, which may not be repeated."`
	Settings SettingsCmd `cmd:"" help:"Read and change the settings tree."`
	Drain    DrainCmd    `cmd:"" help:"Take a data centre out of service, as a change of the settings."`
	Undrain  UndrainCmd  `cmd:"" help:"Bring a data centre back into service, as a change of the settings."`
	Status   StatusCmd   `cmd:"" help:"Show hosts, data centres, targets and changes in force."`
	Explain  ExplainCmd  `cmd:"" help:"Show how a host routes a query: the replicas, their keepers and why."`
	Trace    TraceCmd    `cmd:"" help:"Print what the logs of several hosts say of one request."`
	Losses   LossesCmd   `cmd:"" help:"Sum what hosts' logs say of answers that were late, refused, failed or left shards out, by reason."`
	Load     LoadCmd     `cmd:"" help:"Send queries at random times and report latency, coverage, extra load and refusals."`
	Docs     DocsCmd     `cmd:"" hidden:"" help:"Print a generated page."`
	Version  VersionCmd  `cmd:"" help:"Print the version and the build."`
}

// Progress is the writer for progress and warnings, which are kept apart from a command's results.
type Progress struct {
	io.Writer
}

// Run parses the arguments, runs the chosen command and returns its exit code. Results go to stdout, errors and progress to stderr.
func Run(args []string, stdout, stderr io.Writer) int {
	var root Root
	parser, err := kong.New(&root,
		kong.Name("kingcupcross"),
		kong.Description("A query tier between callers and targets that hold very many shards."),
		kong.Writers(stdout, stderr),
		kong.BindTo(stdout, (*io.Writer)(nil)),
		kong.Bind(Progress{Writer: stderr}),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "kingcupcross:", err)
		return ExitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(stderr, "kingcupcross:", err)
		return exitCode(err)
	}
	return ExitOK
}

// HostCmd runs a host in the host role, which serves callers of the query tier's own API (package apiv1).
type HostCmd struct {
	Settings string `required:"" type:"existingfile" help:"The host's settings file."`
}

// Run runs the host until a signal or a failure ends it.
func (c *HostCmd) Run() error {
	settings, err := conf.LoadHost(c.Settings)
	if err != nil {
		return err
	}
	h, err := host.New(settings)
	if err != nil {
		return err
	}
	return h.Run()
}

// FrontCmd runs a host in the front role, which serves callers of the users' platform.
type FrontCmd struct {
	Settings string `required:"" type:"existingfile" help:"The host's settings file."`
}

// Run runs the host until a signal or a failure ends it.
func (c *FrontCmd) Run() error {
	reload := func() (*conf.Front, error) { return conf.LoadFront(c.Settings) }
	settings, err := reload()
	if err != nil {
		return err
	}
	f, err := front.New(settings, reload)
	if err != nil {
		return err
	}
	return f.Run()
}

// VersionCmd prints the program's version and its build.
type VersionCmd struct{}

// Run prints the version and the build.
func (c *VersionCmd) Run(out io.Writer) error {
	_, err := fmt.Fprintf(out, "kingcupcross %s, build %s\n", build.Version, build.ID())
	return err
}
