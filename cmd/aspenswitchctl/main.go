// Command aspenswitchctl is the operators' tool of an aspenswitch fleet.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/aspenswitch/aspenswitch/bundle"
	"github.com/aspenswitch/aspenswitch/ctl"
	"github.com/aspenswitch/aspenswitch/version"
)

func main() {
	app := kingpin.New("aspenswitchctl", "Operators' tool of an aspenswitch fleet.")
	app.Version(version.String())
	commands := map[string]func() error{}
	add := func(c *kingpin.CmdClause, run func() error) { commands[c.FullCommand()] = run }
	addBundle(app, add)
	addFleet(app, add)
	addExplain(app, add)
	hash := app.Command("hash-key", "Print the hash of a bearer key or token as stored in bundles and settings.")
	key := hash.Arg("key", "The key.").Required().String()
	add(hash, func() error {
		fmt.Println(bundle.HashKey(*key))
		return nil
	})
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(commands[name](), "%s", name)
}

type addCommand func(*kingpin.CmdClause, func() error)

func addBundle(app *kingpin.Application, add addCommand) {
	b := app.Command("bundle", "Prepare, sign and verify bundle versions.")

	check := b.Command("check", "Report all findings with line and column.")
	checkFile := check.Arg("file", "Bundle.").Required().ExistingFile()
	add(check, func() error { return ctl.Check(os.Stdout, *checkFile) })

	diff := b.Command("diff", "Print the changes from one bundle to another.")
	from := diff.Arg("from", "Bundle in force.").Required().ExistingFile()
	to := diff.Arg("to", "Bundle to roll out.").Required().ExistingFile()
	add(diff, func() error { return ctl.Diff(os.Stdout, *from, *to) })

	keygen := b.Command("keygen", "Create an operator's key file and print the public key.")
	keygenFile := keygen.Arg("file", "Key file to create; keep it secret.").Required().String()
	add(keygen, func() error { return ctl.Keygen(os.Stdout, *keygenFile) })

	sign := b.Command("sign", "Add an operator's signature.")
	operator := sign.Flag("operator", "Operator's name.").Required().String()
	keyFile := sign.Flag("key", "Operator's key file.").Required().ExistingFile()
	signFile := sign.Arg("file", "Bundle, or a file signed by another operator.").Required().ExistingFile()
	signOut := sign.Arg("out", "Signed file.").Required().String()
	add(sign, func() error { return ctl.Sign(*signFile, *signOut, *operator, *keyFile) })

	verify := b.Command("verify", "Check that two different operators signed a bundle.")
	verifySettings := verify.Flag("settings", "Settings file of a router, which lists the operators.").Required().ExistingFile()
	verifyFile := verify.Arg("file", "Signed file.").Required().ExistingFile()
	add(verify, func() error { return ctl.Verify(os.Stdout, *verifySettings, *verifyFile) })
}

func addFleet(app *kingpin.Application, add addCommand) {
	fleet := app.Command("fleet", "Query and control running routers.")
	admins := fleet.Flag("admin", "Base URL of a router's operators' API; can be repeated.").Required().Strings()
	token := fleet.Flag("token", "Operators' token; not needed for routers on the platform.").Envar("ASPENSWITCH_TOKEN").String()
	platform := fleet.Flag("platform", "The URLs are control listeners of routers on the users' platform.").Bool()
	discover := fleet.Flag("discover", "Also query all routers listed as members by one of these (with --platform).").Bool()
	client := func() (*ctl.Client, error) {
		c := ctl.NewClient(*admins, *token)
		if !*discover {
			return c, nil
		}
		return c, c.Discover()
	}

	status := fleet.Command("status", "Summarize the fleet: routers that differ, then counts by failure domain and role.")
	format := status.Flag("output", "Output format: table or json.").Default(string(ctl.Table)).Enum(string(ctl.Table), string(ctl.JSON))
	add(status, withClient(client, func(c *ctl.Client) error { return c.Status(os.Stdout, *platform, ctl.Format(*format)) }))
	wait := fleet.Command("wait", "Wait until enough routers are ready; on timeout, list those that are not ready and why.")
	ready := wait.Flag("ready", "Minimum number of ready routers.").Required().Int()
	timeout := wait.Flag("timeout", "Maximum time to wait.").Default("10s").Duration()
	add(wait, withClient(client, func(c *ctl.Client) error { return c.Wait(os.Stdout, *platform, *ready, *timeout) }))
	dump := fleet.Command("dump", "Print the whole state of each router as JSON.")
	add(dump, withClient(client, func(c *ctl.Client) error { return c.Dump(os.Stdout) }))
	release := fleet.Command("release", "End the quarantine of a request content at all routers on the users' platform, or try a quarantined part of prompts again.")
	team := release.Flag("team", "Team that sends the requests with the content.").String()
	part := release.Flag("part", "ID of the part, as shown in logs and dumps, instead of a content.").String()
	content := release.Arg("content", "Hash of the content, as shown in logs and dumps.").String()
	add(release, withClient(client, func(c *ctl.Client) error {
		switch {
		case *part != "" && *content == "" && *team == "":
			return c.ReleasePart(os.Stdout, *part)
		case *part == "" && *content != "" && *team != "":
			return c.Release(os.Stdout, *team, *content)
		}
		return errors.New("release: either --part ID, or --team TEAM and a content")
	}))
	drain := fleet.Command("drain", "Start a graceful shutdown of each given router.")
	add(drain, func() error { return ctl.NewClient(*admins, *token).Drain(os.Stdout) })
}

func withClient(client func() (*ctl.Client, error), run func(*ctl.Client) error) func() error {
	return func() error {
		c, err := client()
		if err != nil {
			return err
		}
		return run(c)
	}
}

func addExplain(app *kingpin.Application, add addCommand) {
	request := app.Command("explain", "Print the log lines about one request and related state changes, from the routers' logs.")
	id := request.Arg("id", "The request's id.").Required().String()
	files := request.Arg("logs", "Log files; default is standard input.").ExistingFiles()
	add(request, func() error {
		return withLogs(*files, func(in io.Reader) error { return ctl.Explain(os.Stdout, *id, in) })
	})

	team := app.Command("explain-team", "Print a team's requests, usage and refusals for each second, from the routers' logs.")
	name := team.Arg("team", "The team's name.").Required().String()
	from := team.Flag("from", "Start of the time range, inclusive, as 2006-01-02T15:04:05Z.").String()
	to := team.Flag("to", "End of the time range, exclusive, as 2006-01-02T15:04:05Z.").String()
	teamFiles := team.Arg("logs", "Log files; default is standard input.").ExistingFiles()
	add(team, func() error {
		timeRange, err := parseTimeRange(*from, *to)
		if err != nil {
			return err
		}
		return withLogs(*teamFiles, func(in io.Reader) error { return ctl.ExplainTeam(os.Stdout, *name, timeRange, in) })
	})
}

// parseTimeRange parses the ends of a time range. An empty end is left open.
func parseTimeRange(from, to string) (timeRange ctl.TimeRange, err error) {
	for _, end := range []struct {
		flag, text string
		dest       *time.Time
	}{{"--from", from, &timeRange.From}, {"--to", to, &timeRange.To}} {
		if end.text == "" {
			continue
		}
		if *end.dest, err = time.Parse(time.RFC3339Nano, end.text); err != nil {
			return timeRange, fmt.Errorf("%s: %w", end.flag, err)
		}
	}
	return timeRange, nil
}

// withLogs calls fn with the concatenated files, or with standard input if there are
// none. The order of the files doesn't matter, because lines are sorted by their times.
func withLogs(files []string, fn func(io.Reader) error) error {
	if len(files) == 0 {
		return fn(os.Stdin)
	}
	var readers []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		readers = append(readers, f)
	}
	return fn(io.MultiReader(readers...))
}
