package shell

import (
	"io"
	"time"
)

type amvCmd struct {
	Doc     docCmd     `cmd:"" help:"Check, publish and show service documents."`
	Entries entriesCmd `cmd:"" help:"Look up the addresses to use for a service. Example: amv entries booking"`
	Call    callCmd    `cmd:"" help:"Send a request. Example: amv call booking --workspace corella-track --key k1 --expires 1h"`
	Explain explainCmd `cmd:"" help:"Show the events of a request in order, from the logs of the instances. Example: amv explain 9c41d07be2a35f68 node-*.log"`
	Status  statusCmd  `cmd:"" help:"Show the status of an instance and of the members, services and endpoints that it knows. Example: amv status"`
}

// opsFlags select the instance for the operators' commands.
type opsFlags struct {
	Node    string        `help:"An instance's ops_addr." default:"127.0.0.1:7200" env:"AMV_OPS" placeholder:"ADDR"`
	JSON    bool          `help:"Write JSON for programs."`
	Timeout time.Duration `help:"Total time-out." default:"90s"`
}

// callerFlags select the instances for the callers' commands.
type callerFlags struct {
	Node    []string      `help:"The caller_addr of instances to query first." default:"127.0.0.1:7100" env:"AMV_ENTRY" placeholder:"ADDR"`
	Zone    string        `help:"The caller's data centre." placeholder:"ZONE"`
	JSON    bool          `help:"Write JSON for programs."`
	Timeout time.Duration `help:"Total time-out." default:"60s"`
}

// RunAmv runs amv, the command of operators and callers.
func RunAmv(args []string, out, err io.Writer) int {
	return run("amv", "The command of amaranthvalve's operators and callers. Exit status: 0 done, 1 refused or failed, 2 usage error. A signal terminates it; a request that it has sent may still run.", &amvCmd{}, args, out, err)
}
