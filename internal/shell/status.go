package shell

import (
	"context"
	"fmt"
	"slices"

	"amaranthvalve/internal/opers"
	"amaranthvalve/internal/wire"
)

type statusCmd struct{ opsFlags }

// Run runs the command.
func (cmd *statusCmd) Run(con *console) error {
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Timeout)
	defer cancel()
	st, err := opers.New(cmd.Node).Status(ctx)
	if err != nil {
		return err
	}
	if cmd.JSON {
		return con.json(st)
	}
	printStatus(con, st)
	return nil
}

func printStatus(con *console, st wire.Status) {
	ready := "ready"
	if !st.Ready {
		ready = "not ready: " + st.NotReadyReason
	}
	con.printf("instance %s in %s, %s\n", st.Instance, st.Zone, ready)
	con.printf("applied offset %d, last confirmed by the log %d ms ago, keys remembered %d\n", st.Applied, st.LogAgeMs, st.Keys)
	con.printf("\n%-40s %-8s %-9s %8s %6s\n", "INSTANCE", "ZONE", "STATUS", "APPLIED", "LOAD")
	for _, mbr := range st.Members {
		con.printf("%-40s %-8s %-9s %8d %6d\n", mbr.Instance, mbr.Zone, mbr.Status, mbr.Applied, mbr.Load)
	}
	con.printf("\n%-24s %8s\n", "SERVICE", "REVISION")
	for _, svc := range st.Services {
		con.printf("%-24s %8d\n", svc.Service, svc.Revision)
	}
	con.printf("\n%-16s %-20s %-22s %6s %6s %10s %s\n", "POOL", "ENDPOINT", "ADDRESS", "BUSY", "LIMIT", "LATENCY_MS", "STATE")
	for _, ept := range st.Endpoints {
		state := ept.State
		if ept.ColdLeftMs > 0 {
			state = fmt.Sprintf("%s, %d ms left", state, ept.ColdLeftMs)
		}
		if ept.PacePct > 0 {
			state = fmt.Sprintf("%s, pace %d %%", state, ept.PacePct)
		}
		con.printf("%-16s %-20s %-22s %6d %6d %10.1f %s\n", ept.Pool, ept.ID, ept.Addr, ept.InFlight, ept.Limit, ept.Latency, state)
	}
	printEvacuated(con, st.Evacuated)
	printCoordinators(con, st.Coordinators)
	printQueues(con, st.Queues)
	printLeases(con, st.Leases)
	printRefusals(con, st.Refusals)
}

func printEvacuated(con *console, list []wire.StatusEvacuation) {
	if len(list) == 0 {
		return
	}
	con.printf("\n%-20s %9s %10s\n", "EVACUATED", "ENDPOINTS", "SINCE_MS")
	for _, evc := range list {
		con.printf("%-20s %9d %10d\n", evc.Zone, evc.Endpoints, evc.SinceMs)
	}
}

func printCoordinators(con *console, list []wire.StatusCoordinator) {
	if len(list) == 0 {
		return
	}
	con.printf("\n%-16s %s\n", "POOL", "COORDINATED BY")
	for _, crd := range list {
		con.printf("%-16s %s\n", crd.Pool, crd.Instance)
	}
}

func printQueues(con *console, list []wire.StatusQueue) {
	if len(list) == 0 {
		return
	}
	con.printf("\n%-16s %8s %10s %8s\n", "QUEUE OF POOL", "WAITING", "OLDEST_MS", "PACE_MS")
	for _, que := range list {
		con.printf("%-16s %8d %10d %8.1f\n", que.Pool, que.Waiting, que.OldestMs, que.PaceMs)
	}
}

func printLeases(con *console, list []wire.StatusLease) {
	con.printf("\n%-12s %-40s %8s\n", "LEASE", "HOLDER", "FENCE")
	for _, lse := range list {
		con.printf("%-12s %-40s %8d\n", lse.Name, lse.Holder, lse.Fence)
	}
}

func printRefusals(con *console, counts map[string]int64) {
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	con.printf("\n%-40s %8s\n", "OUTCOME/REASON", "COUNT")
	for _, name := range names {
		con.printf("%-40s %8d\n", name, counts[name])
	}
}
