package ident

import (
	"strconv"
	"strings"

	"amaranthvalve/pkg/clock"
)

// bornMark stands between a process's name and the instant of its start.
const bornMark = "@"

// Process names one run of an endpoint, from its start to its end: the endpoint's name and
// the instant of its start.
//
// An endpoint may start again under the name that it had, and then holds and knows nothing
// of before. Whatever is believed of an endpoint is kept under its Process, so that it goes
// with the run it was learnt from, everywhere at once: load, failures, room taken, cached
// prompts, its leaving.
type Process string

// NewProcess names the run of an endpoint that started at an instant; zero for an endpoint
// that doesn't say when.
func NewProcess(name string, born clock.Milli) Process {
	if born == 0 && !strings.Contains(name, bornMark) {
		return Process(name)
	}
	return Process(name + bornMark + strconv.FormatInt(int64(born), 10))
}

// Name gives the endpoint's name, which it may have in several runs.
func (prc Process) Name() string {
	if at := strings.LastIndex(string(prc), bornMark); at >= 0 {
		return string(prc[:at])
	}
	return string(prc)
}

// Born gives the instant of the start, zero if it isn't known.
func (prc Process) Born() clock.Milli {
	at := strings.LastIndex(string(prc), bornMark)
	if at < 0 {
		return 0
	}
	born, err := strconv.ParseInt(string(prc[at+len(bornMark):]), 10, 64)
	if err != nil {
		return 0
	}
	return clock.Milli(born)
}

// Replaces tells whether this is a later run of the same endpoint than another.
func (prc Process) Replaces(old Process) bool {
	return prc.Name() == old.Name() && prc.Born() > old.Born()
}
