package coordination_test

import (
	"context"
	"fmt"
	"log"
	"time"

	"github.com/go-faster/errors"

	"clovergap/pkg/coordination"
)

// Run a job on at most one host at a time. The store that the job writes to must reject a write whose fencing token is lower than the
// highest token that the store has received.
func ExampleClient_Lock() {
	client, err := coordination.New("10.0.0.1:7003", "10.0.0.2:7003")
	if err != nil {
		log.Fatal(err)
	}
	defer client.Close()
	ctx := context.Background()
	lock, err := client.Lock(ctx, "jobs/cleanup", "host-1", 10*time.Second)
	if errors.Is(err, coordination.ErrHeld) {
		return // another host runs the job
	}
	if err != nil {
		log.Fatal(err)
	}
	defer lock.Finish(ctx)
	select {
	case <-lock.Context().Done():
		fmt.Println("stopped:", context.Cause(lock.Context()))
	case <-time.After(time.Second):
		fmt.Println("done under fence", lock.Fence())
	}
}

// Update a key without overwriting a concurrent update.
func ExampleClient_PutAt() {
	client, err := coordination.New("10.0.0.1:7003")
	if err != nil {
		log.Fatal(err)
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	current, err := client.Get(ctx, "settings.limit")
	if err != nil && !errors.Is(err, coordination.ErrNotFound) {
		log.Fatal(err)
	}
	_, err = client.PutAt(ctx, "settings.limit", "200 as of build 7", current.Revision)
	var conflict *coordination.ConflictError
	if errors.As(err, &conflict) {
		fmt.Println("another update came first, with revision", conflict.Revision)
	}
}
