package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// printJSON writes a message as indented JSON.
func (s *session) printJSON(message proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, Indent: "  ", UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.out, string(data))
	return err
}

// printTable writes a header and rows in aligned columns.
func (s *session) printTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(s.out, 0, 8, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func formatMillis(unixMillis int64) string {
	return time.UnixMilli(unixMillis).UTC().Format(time.RFC3339)
}

func formatAge(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).String()
}
