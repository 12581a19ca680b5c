package operator

import (
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputTOML  = "toml"
)

// print writes the rows as a table with a heading or, for JSON, the values one a line.
func (s *session) print(heading string, rows [][]string, values []any) (err error) {
	if s.Output == outputJSON {
		return printJSON(s.Out, values)
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	if heading != "" {
		rows = append([][]string{strings.Fields(heading)}, rows...)
	}
	for _, r := range rows {
		if _, err = io.WriteString(w, strings.Join(r, "\t")+"\n"); err != nil {
			return err
		}
	}
	return w.Flush()
}

func printJSON(w io.Writer, values []any) (err error) {
	e := json.NewEncoder(w)
	for _, v := range values {
		if err = e.Encode(v); err != nil {
			return err
		}
	}
	return nil
}
