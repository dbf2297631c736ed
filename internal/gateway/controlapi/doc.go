// Package controlapi takes the control calls of backends, operators and the platform.
package controlapi

//go:generate go run github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@v2.8.2 -config ../../../api/controlapi.yaml ../../../api/control.yaml
//go:generate go run github.com/oapi-codegen/oapi-codegen/v2/cmd/oapi-codegen@v2.8.2 -config ../../../api/coordination.yaml ../../../api/control.yaml
