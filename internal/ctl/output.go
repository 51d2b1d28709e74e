package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/pimentohead/pimentohead/internal/config"
)

// print writes value as JSON or rows as a table, depending on the -o flag. rows is not called for JSON.
func (c *invocation) print(value any, rows func() [][]string) error {
	asJSON, err := c.jsonOutput()
	if err != nil {
		return err
	}
	if asJSON {
		encoder := json.NewEncoder(c.env.Stdout)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "output")
	}
	table := tabwriter.NewWriter(c.env.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows() {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t")) // Flush reports the error.
	}
	return errors.Wrap(table.Flush(), "output")
}

// infof writes a line to standard error, so that it is not part of the output.
func (c *invocation) infof(format string, args ...any) {
	fmt.Fprintf(c.env.Stderr, format+"\n", args...)
}

// changeRows returns one row for each change, or a row that says that there is none.
func changeRows(changes []config.Change) [][]string {
	if len(changes) == 0 {
		return [][]string{{"no difference"}}
	}
	rows := make([][]string, 0, len(changes))
	for _, change := range changes {
		rows = append(rows, []string{change.String()})
	}
	return rows
}

// shortVersionDigits is the number of leading digits of a version that tables show.
const shortVersionDigits = 12

func shortVersion(version string) string {
	if version == "" {
		return "-"
	}
	return version[:min(len(version), shortVersionDigits)]
}
