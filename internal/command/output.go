package command

import (
	"encoding/json"
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// jsonFlag adds the flag that selects output as JSON, for programs.
func jsonFlag(cmd *kingpin.CmdClause) *bool {
	return cmd.Flag("json", "Print JSON.").Bool()
}

// writeJSON writes v as one line of JSON.
func writeJSON(w io.Writer, v any) error {
	return json.NewEncoder(w).Encode(v)
}
