package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a script. Times are those since its start.
type record struct {
	mtx   sync.Mutex
	file  *os.File
	start time.Time
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (rec *record) printf(format string, args ...any) {
	rec.mtx.Lock()
	defer rec.mtx.Unlock()
	_, _ = fmt.Fprintf(rec.file, "%8.3f %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

func (rec *record) close() { _ = rec.file.Close() }
