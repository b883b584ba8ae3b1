package command

import (
	"flag"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"
)

// logsFlag adds the flag that shows the logs of the entries and agents in this process.
func logsFlag(cmd *kingpin.CmdClause) *bool {
	return cmd.Flag("logs", "Show the logs of the entries and agents.").Bool()
}

// discardLogs discards the logs of the entries and agents in this process, unless show
// is set.
func discardLogs(show bool) error {
	if show {
		return nil
	}
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for _, name := range []string{"logtostderr", "alsologtostderr"} {
		if err := flags.Set(name, "false"); err != nil {
			return err
		}
	}
	if err := flags.Set("stderrthreshold", "FATAL"); err != nil {
		return err
	}
	klog.SetOutput(io.Discard)
	return nil
}
