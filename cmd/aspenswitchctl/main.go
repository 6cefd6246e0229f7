// Command aspenswitchctl is the operators' tool.
package main

import (
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
	app := kingpin.New("aspenswitchctl", "Operators' tool of the aspenswitch fleet.")
	app.Version(version.String())
	commands := map[string]func() error{}
	add := func(c *kingpin.CmdClause, run func() error) { commands[c.FullCommand()] = run }
	addBundle(app, add)
	addFleet(app, add)
	addExplain(app, add)
	hash := app.Command("hash-key", "Print the hash of a bearer key or token, as files hold it.")
	key := hash.Arg("key", "The key.").Required().String()
	add(hash, func() error {
		fmt.Println(bundle.HashKey(*key))
		return nil
	})
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(commands[name](), "%s", name)
}

type adder func(*kingpin.CmdClause, func() error)

func addBundle(app *kingpin.Application, add adder) {
	b := app.Command("bundle", "Prepare and sign off bundle versions.")

	check := b.Command("check", "Report all findings with line and column.")
	checkFile := check.Arg("file", "Bundle.").Required().ExistingFile()
	add(check, func() error { return ctl.Check(os.Stdout, *checkFile) })

	diff := b.Command("diff", "Tell what changes from one bundle to another.")
	from := diff.Arg("from", "Bundle in force.").Required().ExistingFile()
	to := diff.Arg("to", "Bundle to roll out.").Required().ExistingFile()
	add(diff, func() error { return ctl.Diff(os.Stdout, *from, *to) })

	keygen := b.Command("keygen", "Make an operator's key file and print the public key.")
	keygenFile := keygen.Arg("file", "Key file to make; keep it secret.").Required().String()
	add(keygen, func() error { return ctl.Keygen(os.Stdout, *keygenFile) })

	sign := b.Command("sign", "Add an operator's signature.")
	operator := sign.Flag("operator", "Operator's name.").Required().String()
	keyFile := sign.Flag("key", "Operator's key file.").Required().ExistingFile()
	signFile := sign.Arg("file", "Bundle, or a signed file of another operator.").Required().ExistingFile()
	signOut := sign.Arg("out", "Signed file.").Required().String()
	add(sign, func() error { return ctl.Sign(*signFile, *signOut, *operator, *keyFile) })

	verify := b.Command("verify", "Check that two different operators signed.")
	verifySettings := verify.Flag("settings", "A router's settings, which name the operators.").Required().ExistingFile()
	verifyFile := verify.Arg("file", "Signed file.").Required().ExistingFile()
	add(verify, func() error { return ctl.Verify(os.Stdout, *verifySettings, *verifyFile) })
}

func addFleet(app *kingpin.Application, add adder) {
	fleet := app.Command("fleet", "Ask running routers.")
	admins := fleet.Flag("admin", "Base URL of a router's operators' API; may stand several times.").Required().Strings()
	token := fleet.Flag("token", "Operators' token; routers on the platform need none.").Envar("ASPENSWITCH_TOKEN").String()
	platform := fleet.Flag("platform", "The URLs are control listeners of routers on the users' platform.").Bool()
	discover := fleet.Flag("discover", "Ask all routers that these hear, too (with --platform).").Bool()
	client := func() (*ctl.Client, error) {
		c := ctl.NewClient(*admins, *token)
		if !*discover {
			return c, nil
		}
		return c, c.Discover()
	}

	status := fleet.Command("status", "Sum up the fleet: routers that differ, then counts by failure domain and role.")
	format := status.Flag("output", "table or json.").Default(string(ctl.Table)).Enum(string(ctl.Table), string(ctl.JSON))
	add(status, withClient(client, func(c *ctl.Client) error { return c.Status(os.Stdout, *platform, ctl.Format(*format)) }))
	wait := fleet.Command("wait", "Wait until enough routers are ready; on timeout, list those that are not ready and why.")
	ready := wait.Flag("ready", "Minimum number of ready routers.").Required().Int()
	timeout := wait.Flag("timeout", "Maximum time to wait.").Default("10s").Duration()
	add(wait, withClient(client, func(c *ctl.Client) error { return c.Wait(os.Stdout, *platform, *ready, *timeout) }))
	dump := fleet.Command("dump", "Print the whole state of each router as JSON.")
	add(dump, withClient(client, func(c *ctl.Client) error { return c.Dump(os.Stdout) }))
	release := fleet.Command("release", "End the quarantine of a request content at all routers on the users' platform.")
	team := release.Flag("team", "Team that sends the requests.").Required().String()
	content := release.Arg("content", "Hash of the content, as shown in logs and dumps.").Required().String()
	add(release, withClient(client, func(c *ctl.Client) error { return c.Release(os.Stdout, *team, *content) }))
	drain := fleet.Command("drain", "Begin a graceful shutdown of each router named.")
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

func addExplain(app *kingpin.Application, add adder) {
	request := app.Command("explain", "Tell the story of one request from the routers' logs.")
	id := request.Arg("id", "The request's id.").Required().String()
	files := request.Arg("logs", "Files of log lines; standard input if none is named.").ExistingFiles()
	add(request, func() error {
		return withLogs(*files, func(in io.Reader) error { return ctl.Explain(os.Stdout, *id, in) })
	})

	team := app.Command("explain-team", "Tell second by second what a team asked for and got, and who refused the rest.")
	name := team.Arg("team", "The team's name.").Required().String()
	from := team.Flag("from", "First moment, as 2006-01-02T15:04:05Z.").String()
	to := team.Flag("to", "Last moment, as 2006-01-02T15:04:05Z.").String()
	teamFiles := team.Arg("logs", "Files of log lines; standard input if none is named.").ExistingFiles()
	add(team, func() error {
		span, err := parseSpan(*from, *to)
		if err != nil {
			return err
		}
		return withLogs(*teamFiles, func(in io.Reader) error { return ctl.ExplainTeam(os.Stdout, *name, span, in) })
	})
}

// parseSpan reads the ends of a span; an empty one is open.
func parseSpan(from, to string) (span ctl.TimeRange, err error) {
	for _, end := range []struct {
		flag, text string
		into       *time.Time
	}{{"--from", from, &span.From}, {"--to", to, &span.To}} {
		if end.text == "" {
			continue
		}
		if *end.into, err = time.Parse(time.RFC3339Nano, end.text); err != nil {
			return span, fmt.Errorf("%s: %w", end.flag, err)
		}
	}
	return span, nil
}

// withLogs reads the files one after the other, or standard input; the lines' times order
// them.
func withLogs(files []string, do func(io.Reader) error) error {
	if len(files) == 0 {
		return do(os.Stdin)
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
	return do(io.MultiReader(readers...))
}
