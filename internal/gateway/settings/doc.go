// Package settings reads and checks the settings file of a process: YAML, written by whoever deploys it, at the path in the variable
// PathEnv.
//
// Fields are named in the file as their yaml tags say, and bounds as their bound tags do. These names are the platform's and stay; a
// field that is not known is passed over, so that a file for a newer version can be read. Parse names all fields that are wrong at once,
// each as the file does; a FieldError is one of them.
//
// The package does no more than that: it applies nothing, and what a running process takes over from a changed file is decided by the
// node. ChangedRestartFields tells what it can't.
package settings
