package sever

import (
	"fmt"
	"os"
	"time"
)

// watchInterval is the interval at which a file is read.
const watchInterval = 10 * time.Millisecond

// Write describes a partition in a file, from which another process takes it; see [Partition.Follow].
func Write(path string, fresh, existing Shape) error {
	text := fmt.Sprintf("%d %d\n", fresh, existing)
	tmp := path + ".new"
	if err := os.WriteFile(tmp, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, path)
}

// Follow sets the partition as a file describes it, whenever that changes. It never returns. A file
// that can't be read changes nothing.
func (prt *Partition) Follow(path string) {
	last := ""
	for ; ; time.Sleep(watchInterval) {
		text, err := os.ReadFile(path)
		if err != nil || string(text) == last {
			continue
		}
		last = string(text)
		var fresh, existing Shape
		if _, err := fmt.Sscan(last, &fresh, &existing); err == nil {
			prt.Set(fresh, existing)
		}
	}
}
