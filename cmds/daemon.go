package cmds

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/urfave/cli/v3"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/io/config"
)

// daemon returns the command that runs an entry with Runners.RunDaemon.
func (b builder) daemon(r Runners) *cli.Command {
	return b.command("daemon", "", "Run an entry until SIGTERM, then stop gracefully", func(ctx context.Context, s *session) error {
		settings, problems := config.LoadSettings(s.cmd.String("settings"))
		if len(problems) > 0 {
			return failed(ExitUsage, "the settings are not valid\n%s", config.Report(problems))
		}
		if r.RunDaemon == nil {
			return failed(ExitFailed, "this build has no daemon: use a build of cmd/%s that sets Runners.RunDaemon", Name)
		}
		return r.RunDaemon(ctx, settings)
	}, &cli.StringFlag{Name: "settings", Required: true, Usage: "TOML file with the settings of this entry"})
}

// envSettings is the environment variable in which the platform passes the path of the settings file.
const envSettings = "SASSAFRASVALVE_BOOT"

// entry returns the command that runs an entry on the platform.
func (b builder) entry(r Runners) *cli.Command {
	return b.command("entry", "", "Run an entry on the platform until SIGTERM, then stop gracefully", func(ctx context.Context, s *session) error {
		if r.RunEntry == nil {
			return failed(ExitFailed, "this build has no entry: use a build of cmd/%s that sets Runners.RunEntry", Name)
		}
		return r.RunEntry(ctx, s.cmd.String("settings"))
	}, &cli.StringFlag{
		Name: "settings", Required: true, Sources: cli.EnvVars(envSettings),
		Usage: "TOML file with the settings of this entry",
	})
}

// demo returns the command that runs a demonstration.
func (b builder) demo(r Runners) *cli.Command {
	return b.command("demo", "", "Run a fleet of stand-ins on loopback addresses", func(ctx context.Context, s *session) error {
		if r.RunDemo == nil {
			return failed(ExitFailed, "this build has no demo: use a build of cmd/%s that sets Runners.RunDemo", Name)
		}
		return r.RunDemo(ctx, s.streams.Out)
	})
}

// versionInfo is the output of the version command.
type versionInfo struct {
	Version       string
	Revision      string
	RecordVersion int
	Go            string
}

// version returns the command that prints the version.
func (b builder) version() *cli.Command {
	return b.command("version", "", "Print the version of the program and of its record format", func(_ context.Context, s *session) error {
		v := versionInfo{Version: "unknown", Revision: "unknown", RecordVersion: fleet.RecordVersion, Go: runtime.Version()}
		if info, ok := debug.ReadBuildInfo(); ok {
			v.Version = info.Main.Version
			for _, setting := range info.Settings {
				if setting.Key == "vcs.revision" {
					v.Revision = setting.Value
				}
			}
		}
		return s.print(v, func(w *strings.Builder) {
			fmt.Fprintf(w, "%s %s, revision %s, record format %d, %s\n", Name, v.Version, v.Revision, v.RecordVersion, v.Go)
		})
	})
}
