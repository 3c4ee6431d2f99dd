package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mtx   sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// printf adds a line with the seconds since the start.
func (rec *record) printf(format string, args ...any) {
	rec.mtx.Lock()
	defer rec.mtx.Unlock()
	_, _ = fmt.Fprintf(rec.file, "%8.3f  %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}
