package simwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
)

func frame(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	b = binary.LittleEndian.AppendUint64(b, 5000)
	return append(binary.LittleEndian.AppendUint32(b, 7), body...)
}

func record(code uint16, fields ...byte) []byte {
	b := binary.LittleEndian.AppendUint16(nil, code)
	return append(binary.LittleEndian.AppendUint32(b, uint32(len(fields))), fields...)
}

func serve(in []byte) {
	var out bytes.Buffer
	err := (&Host{}).Serve(bytes.NewReader(in), &out)
	fmt.Printf("%x %v\n", out.Bytes(), err)
}

func Example_frames() {
	who := record(inInstance, 3, 0)
	fmt.Println("# empty batch, then the end of input")
	serve(frame())
	fmt.Println("# short, over-long and inconsistent: one plain line, no reply")
	serve(frame()[:9])
	serve(frame(who)[:20])
	serve(frame(who, record(inTxn, 1, 2)))
	serve(frame(who, record(inTimer, 1, 2, 3, 4, 5, 6, 7, 8, 9)))
	serve(frame(who, []byte{0x10, 4, 255, 0, 0, 0}))
	serve(frame(record(inTimer, 1, 2, 3, 4, 5, 6, 7, 8)))
	fmt.Println("# an instance that was never started is passed over")
	serve(frame(who, record(inTimer, 1, 2, 3, 4, 5, 6, 7, 8)))
	fmt.Println("# a missing setting is named in a crash report")
	var out bytes.Buffer
	env := "family=gate\nunknown.thing=1"
	start := append(make([]byte, 8), byte(len(env)), 0, 0, 0)
	err := (&Host{}).Serve(bytes.NewReader(frame(who, record(inStart, append(start, env...)...))), &out)
	fmt.Println(strings.Contains(out.String(), "setting me: missing"), err)
	// Output:
	// # empty batch, then the end of input
	// 0000000007000000 <nil>
	// # short, over-long and inconsistent: one plain line, no reply
	//  frame header cut short
	//  frame body cut short at byte 4 of 8
	//  record 1020 cut short at byte 14
	//  record 1060 at byte 8 has 1 bytes too many
	//  record 1040 at byte 8 says 255 bytes, 0 are left
	//  record 1060 at byte 0 comes before any instance is named
	// # an instance that was never started is passed over
	// 0000000007000000 <nil>
	// # a missing setting is named in a crash report
	// true <nil>
}
