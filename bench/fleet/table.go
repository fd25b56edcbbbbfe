package fleet

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

func writeTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	last := ""
	for _, r := range rows {
		if title := r.Experiment + ", " + r.Shape; title != last {
			last = title
			_, _ = fmt.Fprintf(t, "\n%s\t\n", title)
			_, _ = fmt.Fprintln(t, "planner\tspares\tminutes\tworst\tbound\tratio\tmoves\tfailed\tmax out\tVM hours out\tmin below\trejected\tundone\tfaults\tunfinished\t")
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t\n",
			r.Planner, r.Spares, r.Minutes, r.WorstMinutes, r.BoundMinutes, r.Ratio(), r.Moves, r.Failed, r.MaxOut, r.VMHoursOut,
			r.MinutesBelow, r.Rejected, r.Undone, r.Faults, r.Unfinished)
	}
	return t.Flush()
}

func writeCSV(w io.Writer, rows []Row) error {
	c := csv.NewWriter(w)
	_ = c.Write([]string{
		"Experiment", "Shape", "Planner", "Spares", "Minutes", "WorstMinutes", "BoundMinutes", "Ratio", "Moves", "Failed",
		"MaxOut", "VMHoursOut", "MinutesBelow", "Rejected", "Undone", "Faults", "Unfinished",
	})
	for _, r := range rows {
		_ = c.Write([]string{
			r.Experiment, r.Shape, r.Planner, strconv.Itoa(r.Spares), number(r.Minutes), number(r.WorstMinutes), number(r.BoundMinutes),
			number(r.Ratio()), number(r.Moves), number(r.Failed), strconv.Itoa(r.MaxOut), number(r.VMHoursOut), number(r.MinutesBelow),
			number(r.Rejected), strconv.Itoa(r.Undone), strconv.Itoa(r.Faults), strconv.Itoa(r.Unfinished),
		})
	}
	c.Flush()
	return c.Error()
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
