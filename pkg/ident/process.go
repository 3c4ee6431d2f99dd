package ident

import (
	"strconv"
	"strings"

	"amaranthvalve/pkg/clock"
)

// startSep separates an endpoint's name from its start time.
const startSep = "@"

// Process identifies one run of an endpoint: the endpoint's name and its start time.
//
// An endpoint may restart under the same name, and then has no state of the earlier run.
// All that is known of an endpoint is stored under its Process, so that it is discarded
// everywhere together with the run that it applies to: load, failures, result storage used,
// cached prompts, and that it is leaving.
type Process string

// NewProcess returns the identifier of an endpoint's run that started at born; zero for an
// endpoint that does not report it.
func NewProcess(name string, born clock.Milli) Process {
	if born == 0 && !strings.Contains(name, startSep) {
		return Process(name)
	}
	return Process(name + startSep + strconv.FormatInt(int64(born), 10))
}

// Name returns the endpoint's name, which several runs may share.
func (prc Process) Name() string {
	if at := strings.LastIndex(string(prc), startSep); at >= 0 {
		return string(prc[:at])
	}
	return string(prc)
}

// StartedAt returns the start time, zero if it is unknown.
func (prc Process) StartedAt() clock.Milli {
	at := strings.LastIndex(string(prc), startSep)
	if at < 0 {
		return 0
	}
	born, err := strconv.ParseInt(string(prc[at+len(startSep):]), 10, 64)
	if err != nil {
		return 0
	}
	return clock.Milli(born)
}

// Replaces reports whether prc is a later run of the same endpoint than old.
func (prc Process) Replaces(old Process) bool {
	return prc.Name() == old.Name() && prc.StartedAt() > old.StartedAt()
}
