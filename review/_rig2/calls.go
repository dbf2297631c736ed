package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// answer is what a call brought.
type answer struct {
	status int
	body   string
	header http.Header
}

// call makes one call over a connection of its own, and waits for its answer as long as the limit says.
func call(address, method, path, body string, limit time.Duration) (answer, error) {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	return callOn(conn, bufio.NewReader(conn), method, path, body)
}

func callOn(conn net.Conn, from *bufio.Reader, method, path, body string) (answer, error) {
	if _, err := io.WriteString(conn, requestText(method, path, body)); err != nil {
		return answer{}, err
	}
	return readAnswer(from, method)
}

func requestText(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

func readAnswer(from *bufio.Reader, method string) (answer, error) {
	response, err := http.ReadResponse(from, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	text, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, string(text), response.Header}, err
}

// isTimeout reports whether a call ended without an answer because its time was over.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

var out *record

func openRecord(folder string) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	must(err)
	out = &record{file: file, began: time.Now()}
}

// note writes a line with the seconds since the start.
func note(format string, args ...any) {
	out.mu.Lock()
	defer out.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(out.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(out.file, line)
	fmt.Println(line)
}

// onExit is called before the program ends, whatever the reason.
var onExit = func() {}

// finish ends the program: 0 held, 1 broken, 2 could not run.
func finish(code int) {
	onExit()
	os.Exit(code)
}

func giveUp(format string, args ...any) {
	if out != nil {
		note("CANNOT RUN: "+format, args...)
	} else {
		fmt.Printf(format+"\n", args...)
	}
	finish(2)
}

func must(err error) {
	if err != nil {
		giveUp("%v", err)
	}
}
