package cmds

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"sassafrasvalve/core/fleet"
	"sassafrasvalve/core/spec"
	"sassafrasvalve/io/admin"
)

// show returns the action that fetches data from the entries and prints it as a table or JSON.
func show[T any](fetch func(ctx context.Context, c *admin.Client, s *session) (T, error), rows func(T) [][]string) action {
	return func(ctx context.Context, s *session) error {
		c, err := s.client()
		if err != nil {
			return err
		}
		answer, err := fetch(ctx, c, s)
		if err != nil {
			return err
		}
		return s.print(answer, func(w *strings.Builder) { table(w, rows(answer)...) })
	}
}

// pools returns the commands for pools.
func (b builder) pools() *cli.Command {
	fetch := func(ctx context.Context, c *admin.Client, _ *session) (admin.PoolList, error) { return c.Pools(ctx) }
	return b.group("pool", "Show pools", b.command("list", "", "List the pools and the phases of their VMs", show(fetch, poolRows)))
}

// poolRows returns the table of pools, with a header and one row per pool.
func poolRows(list admin.PoolList) [][]string {
	rows := rowsOf([]string{"POOL", "SIZE", "VMS", "PHASES", "SPARE", "REGION", "SERVICES"}, list.Pools, func(p admin.PoolStatus) []string {
		phases := make([]string, 0, len(p.Phases))
		for _, c := range p.Phases {
			phases = append(phases, fmt.Sprintf("%s=%d", c.Phase, c.Count))
		}
		spare := ""
		if p.Pool.Spare {
			spare = "yes"
		}
		return []string{
			p.Pool.Name, strconv.Itoa(p.Pool.Size), strconv.Itoa(p.Total), strings.Join(phases, " "), spare, p.Pool.Region, strings.Join(p.Services, " "),
		}
	})
	return rows
}

// services returns the commands for services.
func (b builder) services() *cli.Command {
	fetch := func(ctx context.Context, c *admin.Client, _ *session) (admin.ServiceList, error) {
		return c.Services(ctx)
	}
	return b.group("service", "Show services", b.command("list", "", "List the services, their availability budgets and what is left of them", show(fetch, serviceRows)))
}

// serviceRows returns the table of services, with a header and one row per service.
func serviceRows(list admin.ServiceList) [][]string {
	rows := rowsOf([]string{"SERVICE", "POOL", "ACTIVE", "UNAVAILABLE", "ROOM", "LIMIT", "BUDGET"}, list.Services, func(s admin.ServiceStatus) []string {
		return []string{
			s.Service.Name, s.Service.Pool, fmt.Sprintf("%d/%d", s.Active, s.Total), strconv.Itoa(s.Unavailable), strconv.Itoa(s.Room), s.Limit, budgetText(s.Service.Budget),
		}
	})
	return rows
}

// budgetText formats the bounds that a budget sets.
func budgetText(b spec.Budget) string {
	var out []string
	for _, f := range []struct {
		name  string
		value int
	}{
		{"MinAvailable", b.MinAvailable},
		{"MinAvailablePercent", b.MinAvailablePercent},
		{"MaxUnavailable", b.MaxUnavailable},
		{"MaxUnavailablePerDC", b.MaxUnavailablePerDC},
	} {
		if f.value != 0 {
			out = append(out, fmt.Sprintf("%s=%d", f.name, f.value))
		}
	}
	return strings.Join(out, " ")
}

// members returns the commands for members.
func (b builder) members() *cli.Command {
	fetch := func(ctx context.Context, c *admin.Client, _ *session) (admin.MemberList, error) {
		return c.Members(ctx)
	}
	return b.group("member", "Show entry processes", b.command("list", "", "List the members", show(fetch, memberRows)))
}

// memberRows returns the table of members, with a header and one row per member.
func memberRows(list admin.MemberList) [][]string {
	rows := rowsOf([]string{"MEMBER", "PHASE", "VOTING", "REGION", "DC", "PEER", "ADMIN", "JOINED", "THROUGH"}, list.Members, func(m fleet.Member) []string {
		return []string{
			m.ID, string(m.Phase), strconv.FormatBool(m.Voting), m.Region, m.DC, m.Addr, m.Admin,
			strconv.FormatInt(m.Joined, 10), strconv.FormatInt(m.Through, 10),
		}
	})
	return rows
}

// jobs returns the commands for deferrable jobs.
func (b builder) jobs() *cli.Command {
	fetch := func(ctx context.Context, c *admin.Client, s *session) (admin.JobStatus, error) {
		return c.Job(ctx, s.arg())
	}
	return b.group("job", "Show deferrable jobs", b.command("show", "ID", "Show a deferrable job", show(fetch, jobRows)))
}

// jobRows returns the table of a job, with one row per property.
func jobRows(j admin.JobStatus) [][]string {
	rows := [][]string{
		{"job", j.ID},
		{"service", j.Service},
		{"class", j.Class},
		{"tenant", j.Tenant},
		{"deadline", j.Deadline.UTC().Format(time.RFC3339)},
		{"phase", string(j.Phase)},
		{"member", j.Member},
		{"run", strconv.Itoa(j.Run)},
	}
	if j.Phase == fleet.JobEnded {
		rows = append(rows, []string{"verdict", j.Verdict.String()}, []string{"status", strconv.Itoa(j.Status)})
	}
	return rows
}
