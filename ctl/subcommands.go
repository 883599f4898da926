package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// command is one subcommand. run receives the arguments and returns the exit
// code.
type command struct {
	name, arguments, synopsis string
	// minArgs and maxArgs bound the number of arguments. A negative maxArgs
	// means no upper bound.
	minArgs, maxArgs int
	setFlags         func(*flag.FlagSet)
	run              func(ctx context.Context, args []string) int
	stderr           io.Writer
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return fmt.Sprintf("chicorytrayctl [flags] %s %s\n%s\n", c.name, c.arguments, c.synopsis)
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.setFlags != nil {
		c.setFlags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < c.minArgs || c.maxArgs >= 0 && f.NArg() > c.maxArgs {
		_, _ = fmt.Fprint(c.stderr, c.Usage())
		return ExitUsage
	}
	return subcommands.ExitStatus(c.run(ctx, f.Args()))
}

func commands(g *globalFlags) []*command {
	var patch string
	return []*command{
		{name: "validate", arguments: "FILE...", minArgs: 1, maxArgs: -1, run: g.validate,
			synopsis: "check documents without the store"},
		{name: "show", maxArgs: 0, run: g.show,
			synopsis: "print the stored document, which can be edited and applied"},
		{name: "apply", arguments: "FILE", minArgs: 1, maxArgs: 1, run: g.apply,
			synopsis: "replace the stored document; FILE must be based on the stored version"},
		{name: "edit", arguments: "[-patch FILE] [FIELD=VALUE...]", maxArgs: -1,
			setFlags: func(f *flag.FlagSet) { f.StringVar(&patch, "patch", "", "file with a JSON merge patch (RFC 7386)") },
			run:      func(ctx context.Context, args []string) int { return g.edit(ctx, patch, args) },
			synopsis: "change fields, for example templates[proof].urgency=1"},
		{name: "out", arguments: "DATACENTRE", minArgs: 1, maxArgs: 1, run: g.setInService(false),
			synopsis: "take a data centre out of service"},
		{name: "in", arguments: "DATACENTRE", minArgs: 1, maxArgs: 1, run: g.setInService(true),
			synopsis: "bring a data centre back into service"},
		{name: "status", maxArgs: 0, run: g.status,
			synopsis: "show the configuration, entries and agents"},
		{name: "dump", arguments: "PROCESS", minArgs: 1, maxArgs: 1, run: g.dump,
			synopsis: "print the state of an entry or agent, by identifier"},
		{name: "drain", arguments: "AGENT", minArgs: 1, maxArgs: 1, run: g.drain,
			synopsis: "make an agent accept no new tasks and finish the running ones"},
	}
}

func (g *globalFlags) validate(_ context.Context, files []string) int {
	code := ExitOK
	for _, path := range files {
		_, err := readDocument(path)
		switch {
		case err != nil:
			code = g.reportError(err)
		case g.json:
			g.printer().printJSON(validationReport{path})
		default:
			g.printer().printf("%s: valid\n", path)
		}
	}
	return code
}

func (g *globalFlags) show(ctx context.Context, _ []string) int {
	o, err := g.newOperator()
	if err != nil {
		return g.reportError(err)
	}
	stored, err := o.Load(ctx)
	if err != nil {
		return g.reportError(err)
	}
	if stored.Document == nil {
		return g.reportError(invalidChange("the store holds no document"))
	}
	data, err := stored.Document.EncodeIndent()
	if err != nil {
		return g.reportError(err)
	}
	g.printer().printf("%s\n", data)
	return ExitOK
}

func (g *globalFlags) apply(ctx context.Context, args []string) int {
	o, err := g.newOperator()
	if err != nil {
		return g.reportError(err)
	}
	d, err := readDocument(args[0])
	if err != nil {
		return g.reportError(err)
	}
	return g.reportChange(o.Apply(ctx, d))
}

func (g *globalFlags) edit(ctx context.Context, patch string, assignments []string) int {
	if (patch == "") == (len(assignments) == 0) {
		return g.reportError(usageError("edit: give either -patch FILE or FIELD=VALUE"))
	}
	o, err := g.newOperator()
	if err != nil {
		return g.reportError(err)
	}
	change := Assignments(assignments)
	if patch != "" {
		data, err := os.ReadFile(patch)
		if err != nil {
			return g.reportError(usageError(err.Error()))
		}
		change = MergePatch(data)
	}
	return g.reportChange(o.Edit(ctx, change))
}

func (g *globalFlags) setInService(inService bool) func(context.Context, []string) int {
	return func(ctx context.Context, args []string) int {
		o, err := g.newOperator()
		if err != nil {
			return g.reportError(err)
		}
		return g.reportChange(o.SetInService(ctx, args[0], inService))
	}
}

func (g *globalFlags) status(ctx context.Context, _ []string) int {
	o, err := g.newOperator()
	if err != nil {
		return g.reportError(err)
	}
	stored, err := o.Load(ctx)
	if err != nil {
		return g.reportError(err)
	}
	survey, err := o.Survey(ctx)
	if err != nil {
		return g.reportError(err)
	}
	g.printer().printStatus(stored, survey)
	for _, p := range survey.Processes {
		if p.Error != "" || p.Generation < stored.generation() {
			return ExitUnconfirmed
		}
	}
	return ExitOK
}

func (g *globalFlags) dump(ctx context.Context, args []string) int {
	o, err := g.newOperator()
	if err != nil {
		return g.reportError(err)
	}
	data, err := o.Dump(ctx, args[0])
	if err != nil {
		return g.reportError(err)
	}
	g.printer().printf("%s\n", data)
	return ExitOK
}

func (g *globalFlags) drain(ctx context.Context, args []string) int {
	o, err := g.newOperator()
	if err != nil {
		return g.reportError(err)
	}
	if err := o.Drain(ctx, args[0]); err != nil {
		return g.reportError(err)
	}
	if g.json {
		g.printer().printJSON(drainReport{args[0]})
	} else {
		g.printer().printf("agent %s is leaving: it accepts no new tasks and finishes the running ones\n", args[0])
	}
	return ExitOK
}
