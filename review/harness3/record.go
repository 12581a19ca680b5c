//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func openRecord(path string) (r *record, err error) {
	r = &record{start: time.Now()}
	if r.file, err = os.Create(path); err != nil {
		return nil, err
	}
	r.out = bufio.NewWriter(r.file)
	return r, nil
}

func (r *record) write(what string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		b = []byte(err.Error())
	}
	r.writeRaw(what, b)
}

func (r *record) writeRaw(what string, b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s %s\n", time.Since(r.start).Seconds(), what, b)
}

// say writes a line to the record and to the output.
func (r *record) say(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	fmt.Println(text)
	r.writeRaw("note", []byte(text))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
