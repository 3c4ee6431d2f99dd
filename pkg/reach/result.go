package reach

//go:generate go tool stringer -type=Result,Path,Process -linecomment -output=result_string.go

// Result is how an attempt to open a connection to an endpoint ended.
type Result int

// The results.
const (
	// Connected: the connection was opened.
	Connected Result = iota // connected
	// Refused: the address refuses connections: no process listens there, or the path is blocked.
	Refused // refused
	// Unanswered: there was no answer in time.
	Unanswered // unanswered
	// Unreachable: the network has no path to the address, or reset the connection.
	Unreachable // unreachable
	// Canceled: the caller gave up.
	Canceled // canceled
)

// Results returns all results.
func Results() []Result { return []Result{Connected, Refused, Unanswered, Unreachable, Canceled} }

// Path is the way on which an instance reaches an endpoint.
type Path int

// The paths.
const (
	// Direct: the instance opens the connection itself.
	Direct Path = iota // direct
	// Relayed: another instance opens it and relays the bytes.
	Relayed // relayed
)

// Paths returns all paths.
func Paths() []Path { return []Path{Direct, Relayed} }

// Process is what is known of the process at an endpoint's address.
type Process int

// The states of a process.
const (
	// Unknown: the address was not reached.
	Unknown Process = iota // unknown
	// Running: something accepts connections.
	Running // running
	// Ended: connections are refused.
	Ended // ended
)
