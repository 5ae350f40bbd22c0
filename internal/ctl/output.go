package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// outputFormat is the value of the flag --output.
type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

func (f *outputFormat) String() string { return string(*f) }

// Type names the type of the value in help texts.
func (f *outputFormat) Type() string { return "format" }

// Set parses the name of a format.
func (f *outputFormat) Set(text string) error {
	switch format := outputFormat(text); format {
	case outputTable, outputJSON:
		*f = format
		return nil
	default:
		return &FlagError{"--output", fmt.Sprintf("is %q, must be table or json", text)}
	}
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("writing the result: %w", err)
	}
	return nil
}

// printTable writes rows in aligned columns.
func printTable(w io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("writing the result: %w", err)
	}
	return nil
}
