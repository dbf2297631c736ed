// Package routing holds the configurations of the gateway: what an operator sends is read, checked and
// folded from the ordered log of changes into the one in force, and a table is made of it that nodes route
// by.
//
// It does no I/O and reads no clock. All that was sent is kept whole beside what is read of it, so that a
// configuration is given back as it came.
package routing

//go:generate go run github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@v2.8.2 -config ../../../api/routing.yaml ../../../api/control.yaml

// The package comment that the generator writes goes, so that the one above stands alone.
//go:generate sed -i -e 1,2d -e "s/DO NOT EDIT[.]/&\\n/" wire.gen.go
