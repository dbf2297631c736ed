package replication

import (
	"reflect"
	"testing"

	"github.com/shoenig/test/must"
)

// setDistinctValues sets all fields of a value, also in nested values. Each number is set to a different value, counted up from *next, so
// that swapped fields are detected.
func setDistinctValues(t *testing.T, v reflect.Value, next *uint64) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			setDistinctValues(t, v.Field(i), next)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setDistinctValues(t, v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			setDistinctValues(t, v.Index(i), next)
		}
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("text")
	case reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(*next)
	default:
		t.Fatalf("setDistinctValues has no value for kind %v", v.Kind())
	}
	*next++
}

// Guards against fields that are lost or swapped by the conversion to the form that gob sends. A new field must be converted too.
func TestWireFormHasAllFields(t *testing.T) {
	var message Message
	next := uint64(1)
	setDistinctValues(t, reflect.ValueOf(&message).Elem(), &next)
	must.Less(t, 256, next) // a MessageKind has one byte
	wire := message.Wire()
	must.Eq(t, message, wire.Message())

	var sent WireMessage
	setDistinctValues(t, reflect.ValueOf(&sent).Elem(), new(uint64))
	received := sent.Message()
	must.Eq(t, sent, received.Wire())

	must.Eq(t, reflect.TypeFor[WireMessage]().NumField(), reflect.TypeFor[Message]().NumField())
	must.Eq(t, Message{}, (&WireMessage{}).Message())
}
