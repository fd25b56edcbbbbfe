package bench

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"
)

// WriteTable writes the results as an aligned table with a row per class, and per tenant if tenants is set.
func WriteTable(w io.Writer, rs []Result, tenants bool) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	last := ""
	for _, r := range rs {
		if title := fmt.Sprintf("%s, %s, %s arrivals", r.Fleet, r.Scenario, r.Spread); title != last {
			last = title
			_, _ = fmt.Fprintf(t, "\n%s\t\n", title)
			_, _ = fmt.Fprintln(t, "policy\tclass\ttenant\toffered\tgoodput\trefused\tfailed\tlost\tlate\tp50 s\tp99 s\tmax s\tcalm good\tcalm p99\tcalm max\tidle\tover\tover s\tB/s\tmax B/s\t")
		}
		for _, x := range r.Rows {
			if x.Tenant != allTenants && !tenants {
				continue
			}
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%.0f\t%.0f\t\n",
				r.Policy, x.Class, x.Tenant, x.Offered, percent(x.Done, x.Offered), percent(x.Refused, x.Offered),
				x.Failed, x.Lost, x.Late, seconds(x.P50), seconds(x.P99), seconds(x.Max),
				percent(x.CalmDone, x.CalmOffered), seconds(x.CalmP99), seconds(x.CalmMax),
				fmt.Sprintf("%.1f%%", 100*r.Idle), r.OverMax, seconds(r.OverLongest), r.Bytes, r.BytesMax)
		}
	}
	return t.Flush()
}

// WriteCSV writes all rows of the results as CSV.
func WriteCSV(w io.Writer, rs []Result) error {
	c := csv.NewWriter(w)
	_ = c.Write([]string{
		"Fleet", "Scenario", "Spread", "Policy", "Class", "Tenant", "Offered", "Done", "Refused", "Failed", "Lost", "Late",
		"P50Seconds", "P99Seconds", "MaxSeconds",
		"CalmOffered", "CalmDone", "CalmP99Seconds", "CalmMaxSeconds", "IdleWhileQueued", "OverMax", "OverLongestSeconds", "BytesPerSecond", "BytesPerSecondMax",
	})
	for _, r := range rs {
		for _, x := range r.Rows {
			_ = c.Write([]string{
				r.Fleet, r.Scenario, string(r.Spread), r.Policy, x.Class, x.Tenant,
				strconv.Itoa(x.Offered), strconv.Itoa(x.Done), strconv.Itoa(x.Refused), strconv.Itoa(x.Failed), strconv.Itoa(x.Lost), strconv.Itoa(x.Late),
				seconds(x.P50), seconds(x.P99), seconds(x.Max),
				strconv.Itoa(x.CalmOffered), strconv.Itoa(x.CalmDone), seconds(x.CalmP99), seconds(x.CalmMax), strconv.FormatFloat(r.Idle, 'f', 4, 64),
				strconv.Itoa(r.OverMax), seconds(r.OverLongest),
				strconv.FormatFloat(r.Bytes, 'f', 0, 64), strconv.FormatFloat(r.BytesMax, 'f', 0, 64),
			})
		}
	}
	c.Flush()
	return c.Error()
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

func percent(n, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(of))
}
