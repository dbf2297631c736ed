package leasing

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"syscall"
	"time"

	"clovergap/internal/proxy/eventloop"
)

// Serve answers clovergap leases and clovergap turn over a Unix socket that only its own user may open. One that a
// process before left behind is taken away, if nobody answers there.
func Serve(e *eventloop.Engine, h *Host, path string) (*http.Server, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("leases.socket: %s: another process answers there", path)
	}
	os.Remove(path)
	old := syscall.Umask(0o177)
	l, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, fmt.Errorf("leases.socket: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /leases", func(w http.ResponseWriter, _ *http.Request) {
		var v Status
		e.Turn(func() { v = h.Status() })
		json.NewEncoder(w).Encode(v)
	})
	mux.HandleFunc("POST /turn/wait", func(w http.ResponseWriter, r *http.Request) {
		most, err := time.ParseDuration(r.URL.Query().Get("for"))
		if err != nil || most <= 0 {
			http.Error(w, "for: must be a span over nought", http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), most)
		defer cancel()
		e.Turn(func() { err = h.SetTurnWanted(true) })
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		for {
			var mine bool
			var changed <-chan struct{}
			e.Turn(func() { mine, changed = h.HasTurn(), h.Changed() })
			if mine {
				fmt.Fprintln(w, "it is this front door's turn")
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				e.Turn(func() { h.SetTurnWanted(false) })
				http.Error(w, fmt.Sprintf("no turn within %s", most), http.StatusRequestTimeout)
				return
			}
		}
	})
	mux.HandleFunc("POST /turn/done", func(w http.ResponseWriter, _ *http.Request) {
		e.Turn(func() { h.SetTurnWanted(false) })
		fmt.Fprintln(w, "given back")
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go s.Serve(l)
	return s, nil
}

// Call calls a front door's socket.
func Call(ctx context.Context, path, method, target string, query url.Values) (string, error) {
	if path == "" {
		return "", errors.New("leases.socket names no socket: nothing can be asked")
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}}}
	r, err := http.NewRequestWithContext(ctx, method, "http://front-door"+target+"?"+query.Encode(), nil)
	if err != nil {
		return "", err
	}
	a, err := c.Do(r)
	if err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	defer a.Body.Close()
	b := make([]byte, 0, 4096)
	for part := make([]byte, 4096); ; {
		n, err := a.Body.Read(part)
		if b = append(b, part[:n]...); err != nil || len(b) > 1<<20 {
			break
		}
	}
	if a.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s", string(b))
	}
	return string(b), nil
}
