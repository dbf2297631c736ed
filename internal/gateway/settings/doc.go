// Package settings parses and validates the settings file of a process. The file is YAML. The platform, which is the system that deploys
// the process, writes the file and sets the environment variable PathEnv to its path.
//
// The yaml tags give the names of fields in the file, and the bound tags the names of bounds. The platform defines these names, so that
// they must not change. Unknown fields are ignored, so that a file for a newer program version can be read. Parse reports all invalid
// fields at once. Each is a FieldError that has the name of the field in the file.
//
// The package does not apply settings. The node decides which changes of the file a running process adopts. ChangedRestartFields returns
// the changed fields that a running process cannot adopt.
package settings
