package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"text/tabwriter"
)

// table prints tables to standard output and collects their rows for a CSV file.
type table struct {
	path string
	rows [][]string
}

func newTable(path string) *table {
	return &table{path: path}
}

// print prints a table under its title. In the CSV file, the title is the first
// column of every row.
func (t *table) print(title string, columns []string, rows [][]string) {
	fmt.Println("== " + title)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range append([][]string{columns}, rows...) {
		for _, cell := range row {
			fmt.Fprint(w, cell, "\t")
		}
		fmt.Fprintln(w)
		t.rows = append(t.rows, append([]string{title}, row...))
	}
	_ = w.Flush()
}

// close appends the collected rows to the CSV file, if one was given.
func (t *table) close() error {
	if t.path == "" {
		return nil
	}
	file, err := os.OpenFile(t.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	w := csv.NewWriter(file)
	_ = w.WriteAll(t.rows)
	return w.Error()
}
