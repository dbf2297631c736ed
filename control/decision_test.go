package control

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestLogEntryStringFormatsMessageAndFields(t *testing.T) {
	e := LogEntry{Message: "requests", Fields: []LogField{IntField("arrived", 12), {Name: "capacity", Value: 2.5}}}
	must.Eq(t, "requests arrived=12 capacity=2.5", e.String())
	must.Eq(t, "requests", (&LogEntry{Message: "requests"}).String())
}
