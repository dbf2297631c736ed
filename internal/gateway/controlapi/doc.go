// Package controlapi takes the control calls of backends, operators and the platform.
package controlapi

//go:generate go run github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@v2.8.2 -config ../../../api/controlapi.yaml ../../../api/control.yaml
//go:generate go run github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@v2.8.2 -config ../../../api/coordination.yaml ../../../api/control.yaml

// The package comment that the generator writes goes, so that the one above stands alone.
//go:generate sed -i -e 1,2d -e "s/DO NOT EDIT[.]/&\\n/" api.gen.go coordination.gen.go
